"""Derives the limits for clients from settings and machine."""

import os
import resource

from cicadafront.edge import byte_account
from cicadafront.telemetry import logs, metrics

_log = logs.Log("edge")


def account(
    memory_mb: float | None, descriptors: int | None
) -> byte_account.Account:
    """Returns the account of a process; it bounds nothing without settings.

    The settings are checked against the memory and the descriptors that the
    system gives the process; the smaller numbers hold.

    Args:
        memory_mb: Memory of the process in MB, or None.
        descriptors: Descriptors of the process, or None.
    """
    machine_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    made = byte_account.Account(
        byte_account.held_limit(memory_mb, machine_bytes),
        byte_account.connection_limit(descriptors, allowed),
        report=_report,
    )
    if made.bounded:
        _log.info(
            "clients are limited.",
            held_bytes=made.limit,
            connections=made.max_connections,
        )
    if _exceeds(memory_mb, machine_bytes / byte_account.MB):
        _log.warning(
            "the machine has less memory than memory_mb; correct the setting.",
            memory_mb=memory_mb,
            machine_mb=round(machine_bytes / byte_account.MB),
        )
    if _exceeds(descriptors, allowed):
        _log.warning(
            "the system allows fewer descriptors than max_descriptors; raise "
            "its limit or lower the setting.",
            max_descriptors=descriptors,
            allowed=allowed,
        )
    return made


def register(values: metrics.Metrics, held: byte_account.Account) -> None:
    """Adds the metrics of an account."""
    values.total_by("clients_turned_away", "reason", lambda: held.turned_away)
    values.gauge("client_bytes_held", lambda: held.held)
    values.gauge("client_connections", lambda: len(held.shares))


def _exceeds(wanted: float | None, given: float) -> bool:
    return wanted is not None and 0 < given < wanted


def _report(reason: str) -> None:
    _log.warning("a client was turned away.", reason=reason)
