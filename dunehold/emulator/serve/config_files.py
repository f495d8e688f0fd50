"""Writes the settings files of the emulator's controllers and its state service."""

from __future__ import annotations

from pathlib import Path

import msgspec

from dunehold.emulator.scenario import Scenario
from dunehold.emulator.serve.addresses import AddressPlan
from dunehold.emulator.serve.state import StateSettings


def node_names(scenario: Scenario) -> tuple[str, ...]:
    """Returns the controllers' names by index."""
    return tuple(f"dunehold-{n}" for n in range(scenario.controllers))


def zone_of(scenario: Scenario, index: int) -> str:
    """Returns a controller's zone; controllers are distributed over the zones in turn."""
    return scenario.zones[index % len(scenario.zones)]


def partition_groups(scenario: Scenario) -> dict[str, list[str]]:
    """Returns for each controller its zone and group, which partitions can name."""
    names = node_names(scenario)
    return {name: [zone_of(scenario, n), "@nodes"] for n, name in enumerate(names)}


def write_controller_settings(
    scenario: Scenario, addresses: AddressPlan, directory: Path
) -> list[Path]:
    """Writes a settings file for each controller and the operators' file that they share.

    Returns the paths of the controllers' files by index.
    """
    # The emulator recognizes a controller by the address that its connections come from.
    rows = {"bind_outgoing": 1.0, **scenario.operator}
    entries = " ".join(f"({k.replace('_', '-')} {_format_number(v)})" for k, v in rows.items())
    (directory / "operator.sexp").write_text(f"(dunehold {entries})\n")
    return [
        _write(directory / f"{name}.toml", _controller_settings(scenario, addresses, n))
        for n, name in enumerate(addresses.nodes)
    ]


def _format_number(value: float) -> str:
    return str(int(value)) if value == int(value) else str(value)


def _write(path: Path, text: bytes) -> Path:
    path.write_bytes(text)
    return path


def _controller_settings(scenario: Scenario, addresses: AddressPlan, index: int) -> bytes:
    workers, state, cloud = scenario.workers, scenario.state, scenario.cloud
    return msgspec.toml.encode(
        {
            "host_name": addresses.nodes[index],
            "site": zone_of(scenario, index),
            "bind": str(addresses.node(index)),
            "peer_bind": str(addresses.peer(index)),
            "seeds": [
                {
                    "host_name": name,
                    "site": zone_of(scenario, n),
                    "address": str(addresses.peer_proxy(index, n)),
                }
                for n, name in enumerate(addresses.nodes)
                if n != index
            ],
            "endpoints": {"cloud": str(addresses.cloud), "state": str(addresses.state)},
            "params": {
                "nodes": scenario.controllers,
                "zones": scenario.zones,
                "clock_error_ms": 5.0,
                "teams": scenario.teams,
                "objectives": scenario.objectives,
                "workers": workers,
                "state": {
                    "rps": state.rps,
                    "write_rps": state.write_rps,
                    "value_kb": state.value_kb,
                    "txn_ops": state.txn_ops,
                },
                "cloud": {"rps": cloud.rps, "list_lag_s": cloud.list_lag_s},
                "machine_limits": {
                    "core_share": scenario.core_share,
                    "ram_mb": scenario.ram_mb,
                    "sockets": scenario.sockets,
                },
            },
        }
    )


def write_state_settings(scenario: Scenario, addresses: AddressPlan, directory: Path) -> Path:
    """Writes the settings of the state service's process and returns the file's path."""
    state = scenario.state
    settings = StateSettings(
        addresses.net,
        list(addresses.nodes),
        partition_groups(scenario),
        str(directory / "state"),
        state.map_mb,
        None if state.unlimited else state.rps,
        None if state.unlimited else state.write_rps,
        int(state.value_kb * 1024),
        state.txn_ops,
    )
    return _write(directory / "state.json", msgspec.json.encode(settings))
