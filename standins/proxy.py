"""Fault-injecting TCP proxy with several routes, controlled in-process or over HTTP."""

import asyncio

from aiohttp import web

from standins.messages import ProxySettings, Refusal, RouteView
from standins.route import Route
from standins.serving import HttpListener, bad_request, json_answer, merge

__all__ = ('CONTROL', 'Proxy')

CONTROL = 'control'
HTTP_NOT_FOUND = 404


class Proxy:
    """Runs routes; tests change them through `change` or `POST /v1/routes/{name}`.

    Attributes:
        routes: routes by name.
    """

    def __init__(self, settings: ProxySettings) -> None:
        """Create the routes.

        Raises:
            ValueError: a target is not on loopback, or a route is named `control`.
        """
        if CONTROL in settings.routes:
            raise ValueError(f'no route can be named {CONTROL}')
        self.routes = {name: Route(route) for name, route in settings.routes.items()}
        self.listener = HttpListener(
            (
                web.get('/v1/routes', self.answer_routes),
                web.post('/v1/routes/{name}', self.change_route),
            ),
            settings.port,
        )

    async def start(self) -> dict[str, str]:
        """Start to listen; return the address of each route by name, and that of `control`."""
        addresses = await asyncio.gather(*(route.start() for route in self.routes.values()))
        control = await self.listener.start()
        return dict(zip(self.routes, addresses, strict=True)) | {CONTROL: control}

    async def stop(self) -> None:
        """Close all listeners and connections."""
        await self.listener.stop()
        await asyncio.gather(*(route.stop() for route in self.routes.values()))

    async def change(self, name: str, **changes: object) -> RouteView:
        """Change `mode`, `delay_ms` or `target` of a route, and return its resulting settings.

        Raises:
            KeyError: there is no such route.
            ValueError: the target is not on loopback.
        """
        return await self.routes[name].change(**changes)

    async def answer_routes(self, request: web.Request) -> web.Response:
        """Answer with the current settings of each route."""
        return json_answer({name: route.view for name, route in self.routes.items()})

    async def change_route(self, request: web.Request) -> web.Response:
        """Change a route; answer with its resulting settings, or 404 if there is no such route."""
        name = request.match_info['name']
        route = self.routes.get(name)
        if route is None:
            return json_answer(Refusal('not_found', f'no route {name}'), HTTP_NOT_FOUND)
        requested = await merge(request, route.view)
        try:
            view = await route.change(
                target=requested.target,
                mode=requested.mode,
                delay_ms=requested.delay_ms,
            )
        except ValueError as error:
            raise bad_request(error) from error
        return json_answer(view)
