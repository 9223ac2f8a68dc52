"""Disables guards against malformed messages, one at a time.

As in `tests.guards`, every function replaces a member from the outside.
"""

from collections.abc import Callable
from pathlib import Path
from types import ModuleType

from gentianpulley.platform import ingress, operator_watch, wire
from tests.cluster_guards import replace


def number_bounds() -> None:
    """Decode numbers of any size."""
    source = Path(wire.__file__).read_text()
    for kind in ('int', 'float'):
        source = source.replace(f'Annotated[{kind}, _IN_RANGE]', kind)
    unbounded = ModuleType(wire.__name__)
    exec(source, unbounded.__dict__)
    for name in ('JOB_DECODER', 'CFG_DECODER', 'WAVE_DECODER'):
        for module in (wire, ingress, operator_watch):
            if hasattr(module, name):
                replace(module, name, getattr(unbounded, name))


INPUT_GUARDS: dict[str, Callable[[], None]] = {
    'number-bounds': number_bounds,
}
