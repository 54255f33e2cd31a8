"""Python runs this at its start, if it stands on PYTHONPATH: plants the defect that the environment names,
loads the program and stands still if it is to wait, and begins the record of shares that is asked for."""

import os

if name := os.environ.get("ROADLB_PLANTED"):
    from roadlb.lab.mutants import plant

    plant(name)
if os.environ.get("ROADLB_WAITS"):
    import signal

    import roadlb.app
    import roadlb.following.following
    import roadlb.net.peers
    import roadlb.net.sharing
    import roadlb.xds.grpc.dial  # noqa: F401

    os.kill(os.getpid(), signal.SIGSTOP)  # until SIGCONT
if folder := os.environ.get("ROADLB_SHARES"):
    from roadlb.lab.sharing.record import begin

    begin(folder)
