"""The rule LOST as these cases check it, from what clients and workers have seen."""

FINISH_S = 14
IDLE_S = 3
CPU = 1000


def lost_at_finish(cell, accepted, end, cpu_of):
    """Return the accepted submissions that are not done and had nothing running for 3 s, `finish_s` after the traffic.

    `accepted` holds (id, tasks) of submissions without dependent steps that nobody has cancelled. They fit twice over as
    long as under half of the capacity is in use, which is noted for the record.
    """
    since, until = end + FINISH_S, end + FINISH_S + IDLE_S
    lost = []
    for name, tasks in accepted:
        if len(cell.done_tasks(name)) < tasks and cell.is_idle(name, since, until):
            lost.append(name)
    busy = max(cell.busy_share(since + step * 0.5, cpu_of) for step in range(7))
    cell.note(f'{FINISH_S} to {FINISH_S + IDLE_S} s after the traffic at most {busy:.0%} of the capacity was in use')
    for name in lost:
        cell.note(f'LOST: {name} is accepted and not done, and nothing of it ran for {IDLE_S} s')
    return lost if busy < 0.5 else []
