"""The refusal plan in the configuration, the forecast of a site's loss, and the `site` commands."""

from __future__ import annotations

import json
from http.server import BaseHTTPRequestHandler, HTTPServer
from math import exp
from pathlib import Path
from threading import Thread
from typing import Any

import pytest
from click.testing import CliRunner

from roadlb.cli.commands import roadlb
from roadlb.config import ConfigError, Pairs, read_plan
from roadlb.sites.forecast import (
    SERVERS_PER_KEY,
    USABLE_SHARE,
    Demand,
    SiteCapacity,
    worth_curve,
    hit_share,
    forecast_loss,
    forecast_losses,
)
from roadlb.sites.refusal import PlanLine

ZONE_LOSS = Path(__file__).parents[2] / "examples" / "incidents" / "hall-lost.toml"
SITES = [SiteCapacity(name, 4, 10.0, 0.25, 20.0) for name in "abc"]
READS = Demand("read", "one", False, 1_000, 0.01, 2.0, 0)  # 10 cores of work
ORDERS = Demand("order", "one", False, 100, 0.1, 10.0, 1)  # and 10 more


def read_plan_lines(*lines: dict[str, Any], **more: Any) -> tuple[PlanLine, ...]:
    pairs = Pairs.from_json({"refusal": {"plan": list(lines), **more}})
    return read_plan(pairs, ["grid-read", "order"], ["energia", "cesty"])


def test_a_plan_is_read_line_by_line() -> None:
    assert read_plan_lines() == ()
    assert read_plan_lines(
        {"share": "over", "customer": "cesty"},
        {"class": "grid-read", "try": "repeat"},
        {"class": "order", "key": "cold"},
    ) == (PlanLine(tenant=1, over_share=True), PlanLine(0, repeat=True), PlanLine(1, warm_key=False))


@pytest.mark.parametrize(
    ("line", "text"),
    [
        ({"class": "orders"}, r"refusal\.plan\.0\.class: there is no 'orders'; there are grid-read, order"),
        ({"customer": "x"}, r"refusal\.plan\.0\.customer: there is no 'x'; there are energia, cesty"),
        ({"try": "second"}, r"refusal\.plan\.0\.try: 'second' is not repeat or first"),
        ({"worth": 3}, r"refusal\.plan\.0\.worth: is not known; there are class, customer, share, try, key"),
    ],
)
def test_an_invalid_plan_is_rejected_with_the_key_and_the_allowed_values(
    line: dict[str, Any], text: str
) -> None:
    with pytest.raises(ConfigError, match=text):
        read_plan_lines(line)
    with pytest.raises(ConfigError, match="refusal.order: is not known"):
        read_plan_lines(order=["x"])
    with pytest.raises(ConfigError, match="refusal.plan: 'x,y' is no list of objects"):
        read_plan(Pairs.from_json({"refusal": {"plan": ["x", "y"]}}), [], [])


def test_the_forecast_of_a_loss_is_computed_from_work_and_capacity() -> None:
    one_lost = forecast_loss(SITES, [READS, ORDERS], ["a"], discovery_delay_s=2.0)
    # 20 cores of work on 20 * 0.92: (18.4 / 20) ** 10 = 0.434, and 18.4 / 1.434 ** 0.1 = 17.75 are served.
    assert one_lost.load == pytest.approx({"b": 20 / 18.4, "c": 20 / 18.4})
    assert one_lost.kept == pytest.approx({ORDERS: 1.0, READS: 0.775}, abs=1e-3)
    assert one_lost.worth == pytest.approx(2_550 / 3_000, abs=1e-3)
    assert (
        not one_lost.borne
        and one_lost.back_95_s is not None
        and 2.0 <= one_lost.back_95_s <= one_lost.back_98_s < 9
    )
    two_lost = forecast_loss(SITES, [READS, ORDERS], ["a", "b"], discovery_delay_s=2.0)
    assert two_lost.kept == pytest.approx({ORDERS: 0.92, READS: 0.0}, abs=1e-3)
    assert forecast_loss(SITES, [READS, ORDERS], [], 2.0).borne
    assert [len(forecast.lost) for forecast in forecast_losses(SITES, [READS, ORDERS], 2.0)] == [
        0,
        1,
        1,
        1,
        2,
        2,
        2,
    ]
    assert [forecast.lost for forecast in forecast_losses(SITES[:1], [READS], 2.0)] == [()]
    with pytest.raises(ValueError, match="there is no site x"):
        forecast_loss(SITES, [READS], ["x"], 2.0)


def test_worth_never_falls_with_demand_if_the_most_worth_per_work_is_refused_last() -> None:
    # Reads are worth twice as much for their work; a plan that keeps orders instead serves less worth.
    times = [0.25 * n for n in range(1, 17)]
    reads_last = [Demand("read", "one", False, 1_000, 0.01, 2.0, 2), ORDERS]
    served = worth_curve(SITES, reads_last, ["a"], times)
    assert all(b >= a - 1e-6 for a, b in zip(served, served[1:], strict=False))
    assert served[-1] == pytest.approx(20 * USABLE_SHARE / 0.01 * 2.0)
    assert worth_curve(SITES, [READS, ORDERS], ["a"], times)[-1] == pytest.approx(
        20 * USABLE_SHARE / 0.1 * 10.0
    )


def test_caches_hold_the_most_requested_keys_up_to_their_capacity() -> None:
    even = [0.01] * 100
    assert hit_share(even, 1_000, 100 * SERVERS_PER_KEY, 1e9) == pytest.approx(1.0, abs=1e-3)
    # Half the capacity holds half of the keys; a key requested 0.01 times a second has mostly expired in 4 s.
    assert hit_share(even, 1_000, 50 * SERVERS_PER_KEY, 1e9) == pytest.approx(0.5, abs=1e-3)
    assert hit_share(even, SERVERS_PER_KEY, 100 * SERVERS_PER_KEY, 4.0) == pytest.approx(
        1 - exp(-0.04), abs=1e-3
    )
    skewed = [0.9] + [0.1 / 99] * 99
    assert hit_share(skewed, 1_000, 10 * SERVERS_PER_KEY, 1e9) > 0.9 and hit_share([], 10, 5, 5) == 0


def test_the_refused_worth_is_summed_up_by_class_and_by_tenant() -> None:
    one_lost = forecast_loss(SITES, [READS, ORDERS], ["a"], discovery_delay_s=2.0)
    assert one_lost.refused_worth(lambda demand: demand.name) == {
        "order": (1_000.0, 0.0),
        "read": (2_000.0, pytest.approx(450.0, abs=1)),
    }
    assert one_lost.refused_worth(lambda demand: demand.tenant)["one"][1] == pytest.approx(450.0, abs=1)


def test_the_plan_command_plots_the_forecast_and_prints_whether_a_loss_is_borne(tmp_path: Path) -> None:
    picture = tmp_path / "plan.svg"
    result = CliRunner().invoke(roadlb, ["site", "plan", str(ZONE_LOSS), "--plot", str(picture)])
    assert result.exit_code == 0 and "borne" in result.output and "worth a second: grid-read" in result.output
    assert "nothing lost" in picture.read_text()
    data = json.loads(CliRunner().invoke(roadlb, ["site", "plan", str(ZONE_LOSS), "--json"]).output)
    two_lost = next(forecast for forecast in data["losses"] if len(forecast["lost"]) == 2)
    worth_refused = [row["worth_refused_per_s"] for row in two_lost["refused"]]
    assert sum(two_lost["worth_refused_per_s"]["class"].values()) == pytest.approx(
        sum(worth_refused), abs=0.1
    )
    assert sum(two_lost["worth_refused_per_s"]["customer"].values()) == pytest.approx(
        sum(worth_refused), abs=0.1
    )


def test_the_plan_command_prints_which_losses_a_deployment_bears() -> None:
    result = CliRunner().invoke(roadlb, ["site", "plan", str(ZONE_LOSS), "--saved", "0.2"])
    assert result.exit_code == 0 and "hall-a and hall-b" in result.output and "of grid-read" in result.output
    data = json.loads(CliRunner().invoke(roadlb, ["site", "plan", str(ZONE_LOSS), "--json"]).output)
    assert [forecast["lost"] for forecast in data["losses"]][:2] == [[], ["hall-a"]]
    assert all(0 <= forecast["worth"] <= 1 for forecast in data["losses"])


def test_site_commands_go_to_each_admin_listener_and_report_rejections() -> None:
    paths = []

    class Balancer(BaseHTTPRequestHandler):
        def do_PUT(self) -> None:
            paths.append(self.path)
            is_last = "hall-a" in self.path
            body = (
                b"hall-a: is the last site in service, and stays"
                if is_last
                else json.dumps(
                    {
                        "site": "hall b",
                        "state": "out",
                        "share": 0.0,
                        "servers": 4,
                        "silent": 0,
                        "relapses": 0,
                        "for_s": 0.0,
                    }
                ).encode()
            )
            self.send_response(409 if is_last else 200)
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, format: str, *args: Any) -> None:
            pass

    with HTTPServer(("127.0.0.1", 0), Balancer) as server:
        Thread(target=server.serve_forever, daemon=True).start()
        address = f"127.0.0.1:{server.server_port}"
        result = CliRunner().invoke(roadlb, ["site", "out", "hall b", address, address])
        assert result.exit_code == 0 and result.output.count(" out ") == 2
        refused = CliRunner().invoke(roadlb, ["site", "out", "hall-a", address, "--json"])
        assert refused.exit_code == 1 and "stays" in json.loads(refused.stdout)["faults"][address]
        server.shutdown()
    assert paths == ["/control/site/hall%20b/out"] * 2 + ["/control/site/hall-a/out"]
    unreachable = CliRunner().invoke(roadlb, ["site", "status", address, "nowhere"])
    assert (
        unreachable.exit_code == 1
        and "not reached" in unreachable.output
        and "is not host:port" in unreachable.output
    )
