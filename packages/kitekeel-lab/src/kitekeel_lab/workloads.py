"""The two users' workloads as load streams, scaled to a share of the deployment's room."""

from __future__ import annotations

import msgspec

from kitekeel_lab.caller import CallerSpec
from kitekeel_lab.load_messages import LoadStream
from kitekeel_steering.model import Configuration

_URGENT_DEADLINE_SECONDS = 4.0
_KEYED_DEADLINE_SECONDS = 8.0
_BULK_DEADLINE_SECONDS = 25.0
_UPLOAD_BYTES = 64 * 1024


class ClassShape(msgspec.Struct, frozen=True):
    """How the requests of a class look.

    Attributes:
        share: of the service's load.
        work_factor: service time against the run's mean.
    """

    service: str
    name: str
    share: float
    repeatable: bool
    deadline_seconds: float
    work_factor: float = 1.0
    answer_bytes: int = 2_000
    upload_bytes: int = 0


CATALOGUE = (
    ClassShape("search", "patron", 0.8, True, _URGENT_DEADLINE_SECONDS),
    ClassShape("search", "staff", 0.2, True, _URGENT_DEADLINE_SECONDS),
    ClassShape("authority", "cataloguer", 0.5, False, _KEYED_DEADLINE_SECONDS),
    ClassShape(
        "authority", "batch", 0.5, False, _BULK_DEADLINE_SECONDS, upload_bytes=_UPLOAD_BYTES
    ),
    ClassShape("loans", "transfer", 0.8, False, _KEYED_DEADLINE_SECONDS),
    ClassShape("loans", "report", 0.2, True, _KEYED_DEADLINE_SECONDS),
)
DEVICE_LAB = (
    ClassShape("inventory", "classroom", 0.7, True, _URGENT_DEADLINE_SECONDS),
    ClassShape("inventory", "browse", 0.3, True, _URGENT_DEADLINE_SECONDS),
    ClassShape("booking", "reserve", 0.8, False, _KEYED_DEADLINE_SECONDS),
    ClassShape("booking", "report", 0.2, True, _KEYED_DEADLINE_SECONDS),
    ClassShape("image", "control", 0.4, False, _KEYED_DEADLINE_SECONDS),
    ClassShape("image", "upload", 0.6, False, _BULK_DEADLINE_SECONDS, upload_bytes=_UPLOAD_BYTES),
)
WORKLOADS = {"catalogue": CATALOGUE, "device-lab": DEVICE_LAB}


def make_streams(
    configuration: Configuration,
    shapes: tuple[ClassShape, ...],
    load: float,
    mean_work_seconds: float,
    exponential: bool = True,
) -> list[LoadStream]:
    """Return streams that together ask for a share of each service's slots.

    Args:
        configuration: its slots and zones.
        shapes: the classes.
        load: 1.0 asks for as many slots as there are.
        mean_work_seconds: mean service time.
        exponential: draw service times, instead of giving all the same.
    """
    zones = [zone for region in configuration.regions for zone in region.zones]
    streams: list[LoadStream] = []
    for shape in shapes:
        slots = sum(each.slots for each in configuration.back_ends if each.service == shape.service)
        work = mean_work_seconds * shape.work_factor
        rate = load * slots * shape.share / work / len(zones)
        streams.extend(
            LoadStream(
                f"{shape.service}/{shape.name}",
                zone,
                rate,
                _request(configuration, shape, work),
                exponential,
            )
            for zone in zones
        )
    return streams


def _request(configuration: Configuration, shape: ClassShape, work: float) -> CallerSpec:
    service = configuration.find_service(shape.service)
    priority_class = service.find_class(shape.name) if service else None
    return CallerSpec(
        service=shape.service,
        class_name=shape.name,
        class_key=priority_class.key if priority_class else "",
        repeatable=shape.repeatable,
        work_seconds=work,
        deadline_seconds=shape.deadline_seconds,
        answer_bytes=shape.answer_bytes,
        upload_bytes=shape.upload_bytes,
    )
