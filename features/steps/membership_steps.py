"""Steps about members."""

from behave import then
from behave.runner import Context

from kitekeel_lab.cluster import wait_until
from kitekeel_operators.timeline import collect_timeline

LIVE = ("starting", "serving", "leaving", "suspect")


def live_members(context: Context, at: str) -> list[str]:
    rows = context.cluster.query("show daemons", at=at).rows
    return [row[0] for row in rows if row[6] in LIVE]


@then(
    'within {seconds:d} seconds every daemon knows {count:d} live members, "{name}" once among them'
)
def every_daemon_knows(context: Context, seconds: int, count: int, name: str) -> None:
    def known() -> bool:
        for daemon in context.deployment.daemons:
            found = live_members(context, daemon.name)
            named = [each for each in found if each.startswith(f"{name}-")]
            if len(found) != count or len(named) != 1:
                return False
        return True

    wait_until(known, seconds, "the same members everywhere")


@then("within {seconds:d} seconds the other daemons know {count:d} live members")
def others_know(context: Context, seconds: int, count: int) -> None:
    others = [
        each.name for each in context.deployment.daemons if context.cluster.is_usable(each.name)
    ]
    wait_until(
        lambda: all(len(live_members(context, name)) == count for name in others),
        seconds,
        "the same members everywhere",
    )


@then('the time line of all daemons tells that "{name}" was dead and is serving again')
def told_in_timeline(context: Context, name: str) -> None:
    first = context.deployment.daemons[0].operator_address
    timeline = collect_timeline(first, context.cluster.operator_key)
    assert not timeline.missing, timeline.missing
    about = [each.text for each in timeline.events if each.text.startswith(f"{name}-")]
    dead = [index for index, text in enumerate(about) if text.endswith("is dead")]
    assert dead, about
    assert any(text.endswith("is serving") for text in about[dead[0] :]), about
