#!/bin/sh
# Makes .venv: what requirements.txt pins, and roadlb, its hot modules compiled by mypyc.  What is there and up to
# date is left alone; what is half-made is made anew, as each stamp is written last.
set -eu
cd "$(dirname "$0")/.."
if ! cmp -s requirements.txt .venv/installed.txt; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip -q install -r requirements.txt
    cp requirements.txt .venv/installed.txt
fi
sources=$(cat deploy/build.sh pyproject.toml setup.py $(find roadlb -name '*.py' | LC_ALL=C sort) | cksum)
test "$(cat .venv/compiled.txt 2>/dev/null)" = "$sources" && exit 0
rm -rf .venv/src .venv/compiled.txt
mkdir .venv/src
cp -r roadlb pyproject.toml setup.py README.md .venv/src
install() { (cd .venv/src && ROADLB_COMPILED=$1 ../bin/pip -q install --no-deps --no-build-isolation --force-reinstall .); }
if ! install 1 2>.venv/compiler.txt; then     # without a C compiler it runs all the same, at twice the CPU
    echo "roadlb: not compiled, .venv/compiler.txt says why" >&2
    install 0
fi
rm -rf .venv/src
echo "$sources" > .venv/compiled.txt
