"""The models and adapters that take places at a target, by its report."""

from mimosaworks.deployment import ResidentModel
from mimosaworks.platform import TargetReport


def held_or_coming(report: TargetReport) -> tuple[ResidentModel, ...]:
    """Return the models with their adapters and those on their way.

    A model that the target does not hold has adapters only.
    """
    adapters_by_model = {
        residence.model: set(residence.adapters)
        for residence in report.residences
    }
    for named in report.coming:
        model, _, adapter = named.partition('/')
        adapters = adapters_by_model.setdefault(model, set())
        adapters.add(adapter.partition('@')[0])
    return tuple(
        ResidentModel(model, tuple(sorted(adapters)))
        for model, adapters in adapters_by_model.items()
    )
