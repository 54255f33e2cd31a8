"""`roadlb config check`: would a balancer start with this configuration?"""

from __future__ import annotations

import json
import os
from pathlib import Path

import click

from ..need import FAULTY


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Check the platform's JSON configuration in FILE, with the PROXY_ variables that are set."""
    from ...config import ConfigError, read_config

    try:
        config = read_config(json.loads(Path(file).read_text(encoding="utf-8")), os.environ)
        if config.agreement is not None:
            from ...following.keys import thresholds_of, timing_of

            timing_of(config.agreement)
            thresholds_of(config.agreement)
    except OSError as e:
        problem = f"cannot be read: {e.strerror}"
    except ValueError as e:
        problem = f"is not JSON: {e}"
    except ConfigError as e:
        problem = str(e)
    else:
        classes = ", ".join(one.name for one in config.settings.classes)
        click.echo(
            f"{file}: sound; {config.name} listens on {config.listen}, asks {config.discovery}, "
            f"serves {classes}, and holds {config.client_sockets} connections of clients and "
            f"{config.instance_sockets} to instances"
        )
        return
    click.echo(f"{file}: {problem}", err=True)
    raise click.exceptions.Exit(FAULTY)
