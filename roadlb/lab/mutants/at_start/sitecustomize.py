"""Python runs this at its start, if it stands on PYTHONPATH: plants the defect that the environment names,
and begins the record of shares that it asks for."""

import os

if name := os.environ.get("ROADLB_PLANTED"):
    from roadlb.lab.mutants import plant

    plant(name)
if folder := os.environ.get("ROADLB_SHARES"):
    from roadlb.lab.sharing.record import begin

    begin(folder)
