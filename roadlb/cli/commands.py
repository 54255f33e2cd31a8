"""The tree of commands."""

from __future__ import annotations

import click

from .agreement.status import exclude, include
from .agreement.status import status as agreement_status
from .agreement.versions import accept, diff, history, propose
from .agreement.versions import show as version_show
from .config.check import check as config_check
from .control import control
from .lab.check import check as lab_check
from .lab.grid import grid as lab_grid
from .lab.load import load as lab_load
from .lab.run import run as lab_run
from .lab.show import show as lab_show
from .peers import peers
from .site.plan import plan as site_plan
from .site.words import out as site_out
from .site.words import put_in as site_in
from .site.words import status as site_status


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def roadlb() -> None:
    """Tools around the roadlb balancer.  The balancer itself starts with `python -m roadlb`."""


@roadlb.group()
def lab() -> None:
    """Rehearse incidents: play a deployment round the real program, and judge what crossed the wire."""


@roadlb.group()
def config() -> None:
    """The platform's configuration of a balancer."""


@roadlb.group()
def site() -> None:
    """Whole sites: what the loss of one does, how each stands, and an operator's word on one."""


@roadlb.group()
def versions() -> None:
    """Versions of settings and lists that the control services have issued or declined."""


@roadlb.group()
def agreement() -> None:
    """Who leads, and how each balancer stands in the agreement."""


for command in (version_show, diff, history, accept, propose):
    versions.add_command(command)
for command in (agreement_status, exclude, include):
    agreement.add_command(command)
for command in (site_plan, site_status, site_out, site_in):
    site.add_command(command)
for command in (lab_run, lab_check, lab_show, lab_load, lab_grid):
    lab.add_command(command)
config.add_command(config_check)
roadlb.add_command(control)
roadlb.add_command(peers)
