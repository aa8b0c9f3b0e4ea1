"""Parses a configuration in INI format and reports all errors in it as findings."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from kitekeel_steering.ini import IniDocument, IniSection
from kitekeel_steering.model import BackEnd, Configuration, Link, PriorityClass, Region, Service

_MAX_SLOTS = 10_000
_MAX_MACHINES = 1_000
_MAX_QUEUE_PLACES = 10_000
_MAX_RANK = 100


def parse_configuration(text: str, source: str = "configuration") -> Configuration:
    """Return the configuration in an INI text.

    Args:
        text: sections ``[region R]``, ``[link R1 R2]``, ``[service S]``, ``[class S/C]`` and
            ``[backend B]``.
        source: the file's name, for findings.

    Raises:
        FindingsError: the text is invalid; carries all findings.
    """
    return _Reader(IniDocument(text, source)).read()


class _Reader:
    """Reads the sections of one document into a configuration."""

    def __init__(self, document: IniDocument) -> None:
        self._document = document
        self._regions: list[Region] = []
        self._links: list[Link] = []
        self._services: dict[str, Service] = {}
        self._classes: dict[str, list[PriorityClass]] = {}
        self._back_ends: list[BackEnd] = []
        self._checks: list[Callable[[], None]] = []

    def read(self) -> Configuration:
        """Read all sections, then check the references between them."""
        readers = {
            "region": self._read_region,
            "link": self._read_link,
            "service": self._read_service,
            "class": self._read_class,
            "backend": self._read_back_end,
        }
        for section in self._document.sections:
            kind, _, name = section.name.partition(" ")
            reader = readers.get(kind)
            if reader is None or not name:
                allowed = ", ".join(f"[{each} NAME]" for each in readers)
                section.add_finding(None, "unknown-section", f"[{section.name}]", allowed)
                continue
            reader(section, name.strip())
            section.report_unknown_options()
        for check in self._checks:
            check()
        self._check_services()
        self._document.raise_findings()
        return Configuration(
            regions=tuple(self._regions),
            links=tuple(self._links),
            services=tuple(self._services_with_classes()),
            back_ends=tuple(self._back_ends),
        )

    def _services_with_classes(self) -> list[Service]:
        return [
            Service(
                service.name,
                tuple(sorted(self._classes.get(service.name, []), key=lambda each: each.rank)),
                service.longest_run_seconds,
                service.warm_up_seconds,
            )
            for service in self._services.values()
        ]

    def _read_region(self, section: IniSection, name: str) -> None:
        machines = section.integer("entry_machines", None, 1, _MAX_MACHINES)
        self._regions.append(Region(name, section.names("zones"), machines))

    def _read_link(self, section: IniSection, name: str) -> None:
        ends = name.split()
        if len(ends) != 2:
            section.add_finding(None, "bad-link", f"[{section.name}]", "[link REGION REGION]")
            return
        delay = section.seconds("one_way_delay")
        limit = section.integer("request_limit", 0, 0, _MAX_SLOTS)
        self._links.append(Link(ends[0], ends[1], delay, limit))
        self._checks.append(lambda: self._check_regions(section, ends))

    def _read_service(self, section: IniSection, name: str) -> None:
        longest = section.seconds("longest_run")
        warm_up = section.seconds("warm_up", "5s")
        self._services[name] = Service(name, (), longest, warm_up)

    def _read_class(self, section: IniSection, name: str) -> None:
        service, _, class_name = name.partition("/")
        if not class_name:
            section.add_finding(None, "bad-class", f"[{section.name}]", "[class SERVICE/CLASS]")
            return
        priority_class = PriorityClass(
            name=class_name,
            rank=section.integer("rank", None, 1, _MAX_RANK),
            sure_share=section.fraction("sure_share", 0.0),
            most_share=section.fraction("most_share", 1.0),
            pushes_aside=section.names("pushes_aside", ""),
            key=section.text("key", ""),
            queue_places=section.integer("queue_places", 64, 0, _MAX_QUEUE_PLACES),
        )
        self._classes.setdefault(service, []).append(priority_class)
        self._checks.append(lambda: self._check_class(section, service, priority_class))

    def _read_back_end(self, section: IniSection, name: str) -> None:
        zone = section.text("zone")
        back_end = BackEnd(
            name=name,
            service=section.text("service"),
            region=self._region_of_zone(zone),
            zone=zone,
            address=section.address("address"),
            slots=section.integer("slots", None, 1, _MAX_SLOTS),
            connections=section.integer("connections", 130, 1, _MAX_SLOTS),
        )
        self._back_ends.append(back_end)
        self._checks.append(lambda: self._check_back_end(section, back_end))

    def _region_of_zone(self, zone: str) -> str:
        return next((region.name for region in self._regions if zone in region.zones), "")

    def _check_regions(self, section: IniSection, names: list[str]) -> None:
        known = [region.name for region in self._regions]
        for name in names:
            if name not in known:
                section.add_finding(None, "unknown-region", f"'{name}'", _one_of(known))

    def _check_class(self, section: IniSection, service: str, each: PriorityClass) -> None:
        if service not in self._services:
            allowed = _one_of(self._services)
            section.add_finding(None, "unknown-service", f"'{service}'", allowed)
        if each.sure_share > each.most_share:
            allowed = f"at most most_share, {each.most_share}"
            section.add_finding("sure_share", "sure-above-most", f"{each.sure_share}", allowed)
        siblings = {other.name: other for other in self._classes.get(service, [])}
        for name in each.pushes_aside:
            if name not in siblings or siblings[name].rank <= each.rank:
                allowed = "classes of the service with a higher rank number"
                section.add_finding("pushes_aside", "bad-pushes-aside", f"'{name}'", allowed)

    def _check_back_end(self, section: IniSection, back_end: BackEnd) -> None:
        if back_end.service not in self._services:
            allowed = _one_of(self._services)
            section.add_finding("service", "unknown-service", f"'{back_end.service}'", allowed)
        if not back_end.region:
            allowed = "a zone of a [region] section above"
            section.add_finding("zone", "unknown-zone", f"'{back_end.zone}'", allowed)

    def _check_services(self) -> None:
        for service in self._services:
            classes = self._classes.get(service, [])
            section = self._document.section(f"service {service}")
            if not classes:
                section.add_finding(None, "no-class", f"'{service}' has no class", "[class S/C]")
            if sum(each.sure_share for each in classes) > 1.0:
                section.add_finding(
                    None, "sure-above-one", f"'{service}'", "sure shares of 1 in all"
                )


def _one_of(names: Iterable[str]) -> str:
    return ", ".join(names) or "none, since none is configured"
