"""Formatting of the spans of a trace as an indented tree."""

from collections import defaultdict
from collections.abc import Sequence

from marigoldlift.peers.messages import SpanRecord

__all__ = ('draw_tree',)

NS_PER_MS = 1_000_000
INDENT = '  '


def draw_tree(spans: Sequence[SpanRecord]) -> list[str]:
    """Return one line for each span, below its parent and sorted by start time.

    A span whose parent is missing is drawn as a root, so that an entry that did not answer hides no spans of
    other entries. Spans that form a cycle are drawn as well, after all others.
    """
    by_id = {span.span_id: span for span in spans}
    children: defaultdict[str, list[SpanRecord]] = defaultdict(list)
    for span in sorted(by_id.values(), key=lambda each: each.start_ns, reverse=True):
        parent_id = span.parent_id if span.parent_id in by_id else ''
        children[parent_id].append(span)
    lines = draw_subtree(children, '')
    while children:
        cycle = next(iter(children))
        lines.extend(draw_subtree(children, cycle))
    return lines


def draw_subtree(children: defaultdict[str, list[SpanRecord]], parent_id: str) -> list[str]:
    """Draw the descendants of a span depth first, and remove them from `children`."""
    lines = []
    stack = [(span, 0) for span in children.pop(parent_id, [])]
    while stack:
        span, depth = stack.pop()
        lines.append(INDENT * depth + describe(span))
        below = children.pop(span.span_id, [])
        stack.extend((child, depth + 1) for child in below)
    return lines


def describe(span: SpanRecord) -> str:
    """Return the name, duration and attributes of a span as one line."""
    duration_ms = (span.end_ns - span.start_ns) / NS_PER_MS
    ordered = sorted(span.attributes.items())
    attributes = ' '.join(f'{name}={text}' for name, text in ordered)
    return f'{span.name}  {duration_ms:.3f} ms  {attributes}'.rstrip()
