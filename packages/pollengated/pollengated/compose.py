"""Composition root: builds the processes of each role from their settings."""

import asyncio
import dataclasses
import signal
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

from pollengate.membership import Member, Role
from pollengate.patches import OutstandingPatches
from pollengate.shard_policy import shard_policy_builders
from pollengate_net.calls import split_address
from pollengate_net.etcd_store import EtcdStore
from pollengate_net.grpc_worker import GrpcWorkerClient
from pollengate_net.http_backend import HttpBackendClient
from pollengate_net.http_vm_list import HttpVmList
from pollengate_net.peer_client import GrpcPeerClient
from pollengate_net.request_ids import trace_server
from pollengate_net.scheduler_client import SchedulerClient
from pollengate_net.slot_client import SlotClient

from pollengated.call_log import CallLog
from pollengated.configuration_cache import ConfigurationCache
from pollengated.configuration_patches import ConfigurationPatcher
from pollengated.configuration_refresher import ConfigurationRefresher
from pollengated.connection_table import ConnectionTable
from pollengated.gate_admission import GateAdmission
from pollengated.gate_shutdown import CloseConnectionsOnShutdown, GateShutdown
from pollengated.http_configuration import configuration_router
from pollengated.http_health import health_router
from pollengated.http_server import create_app, create_server, serve_until_cancelled
from pollengated.http_services import service_router
from pollengated.http_status import status_router
from pollengated.http_tasks import task_router
from pollengated.job_router import JobRouter
from pollengated.limit_refusals import LimitRefusals
from pollengated.logs import Log, configure_logging
from pollengated.member_registry import MemberRegistry
from pollengated.metrics import Metrics
from pollengated.owner_directory import OwnerDirectory
from pollengated.peer_guard import PeerGuard
from pollengated.peer_request_handler import PeerRequestHandler
from pollengated.peer_service import PeerService
from pollengated.readiness import Readiness
from pollengated.request_budget import RequestBudget
from pollengated.request_limits import DEFAULT_BUFFERED_BYTES, DEFAULT_CONNECTIONS
from pollengated.rpc_limits import RpcLimits
from pollengated.rpc_server import BoundedRpcServer, RpcListener
from pollengated.scheduler_service import HeartbeatService, SchedulerService
from pollengated.service_proxy import ServiceProxy
from pollengated.settings import Settings
from pollengated.shard_owner import ShardOwner
from pollengated.shard_set import ShardSet
from pollengated.slot_manager import SlotManager
from pollengated.slot_service import SlotService
from pollengated.status_collector import StatusCollector
from pollengated.vm_directory import VmDirectory

__all__ = ["run_gate", "run_scheduler"]

HANDOVER_TIMEOUT_S = 8.0


async def run_gate(settings: Settings) -> None:
    """Runs a gate until SIGTERM or SIGINT."""
    configure_logging(settings)
    metrics = Metrics()
    store = EtcdStore(settings.store_address)
    configuration_cache = ConfigurationCache(store, metrics)
    registry = _registry(settings, Role.GATE, store)
    peers = GrpcPeerClient()
    vms = VmDirectory(HttpVmList(settings.vm_list_address))
    refresher = ConfigurationRefresher(
        configuration_cache, registry, peers, metrics, vms.entry_addresses
    )
    admission = GateAdmission(registry, peers)
    outstanding = OutstandingPatches()
    patcher = ConfigurationPatcher(store, configuration_cache, registry, admission, outstanding)
    rpc_server = BoundedRpcServer(
        [PeerService(PeerRequestHandler(store, configuration_cache, registry, outstanding))],
        _rpc_listener(settings),
    )
    await rpc_server.start(*split_address(settings.rpc_address))
    directory = OwnerDirectory(store)
    client = SchedulerClient()
    slots = SlotClient()
    # Sequence numbers of slot requests restart with the process, so each start gets its own id.
    gate_id = f"{settings.process_id}.{uuid.uuid4().hex}"
    slot_manager = SlotManager(gate_id, settings.zone, directory, vms, slots)
    proxy = ServiceProxy(
        settings.zone, configuration_cache, vms, slot_manager, HttpBackendClient(), metrics
    )
    jobs = JobRouter(store, configuration_cache, directory, client)
    status = StatusCollector(registry, configuration_cache, directory, client, peers, metrics)
    readiness = Readiness(configuration_cache, slot_manager.not_ready_reason)
    shutdown = GateShutdown(readiness, settings.stop_delay_s)
    app = create_app(
        [
            configuration_router(configuration_cache, patcher, metrics),
            task_router(jobs, metrics),
            service_router(proxy, metrics, settings.max_body_bytes),
            status_router(status),
            health_router(readiness, metrics),
        ],
        settings,
        metrics,
    )
    loops = [
        registry.run(),
        refresher.run(),
        admission.run(),
        directory.run(),
        vms.run(),
        slot_manager.run(),
    ]
    server = create_server(CloseConnectionsOnShutdown(app, readiness), settings, metrics)
    Log("gate").info("serving", address=settings.http_address)
    await _run_until_stopped(shutdown.serve(server), loops, after=proxy.close)
    await slot_manager.release_all()
    await registry.deregister()
    rpc_server.close()
    await rpc_server.wait_closed()
    await peers.close()
    slots.close()
    client.close()
    await store.close()


async def run_scheduler(settings: Settings) -> None:
    """Runs a scheduler until SIGTERM or SIGINT."""
    configure_logging(settings)
    metrics = Metrics()
    store = EtcdStore(settings.store_address)
    configuration_cache = ConfigurationCache(store, metrics)
    registry = _registry(settings, Role.SCHEDULER, store)
    peers = GrpcPeerClient()
    vms = VmDirectory(HttpVmList(settings.vm_list_address))
    refresher = ConfigurationRefresher(
        configuration_cache, registry, peers, metrics, vms.entry_addresses
    )
    peer_handler = PeerRequestHandler(store, configuration_cache, registry)

    def make_owner(shard: int, shard_count: int) -> ShardOwner:
        return ShardOwner(
            settings.zone,
            shard,
            settings.process_id,
            settings.rpc_address,
            store,
            configuration_cache,
            vms,
            GrpcWorkerClient,
            metrics,
            shard_policy_builders(settings.zone, shard, asyncio.get_running_loop().time),
            shard_count=shard_count,
            guard=PeerGuard(store, registry, peers, peer_handler, metrics),
        )

    shards = ShardSet(store, settings.zone, configuration_cache, make_owner)
    service = SchedulerService(settings.process_id, settings.zone, shards, configuration_cache)
    slots = SlotService(settings.zone, shards, store, configuration_cache, vms)
    services = [service, HeartbeatService(shards), slots, PeerService(peer_handler)]
    server = BoundedRpcServer(services, _rpc_listener(settings))
    trace_server(server, CallLog("scheduler").write)
    app = create_app([health_router(Readiness(configuration_cache), metrics)], settings, metrics)
    await server.start(*split_address(settings.rpc_address))
    Log("scheduler").info("serving", address=settings.rpc_address)
    http = serve_until_cancelled(app, settings, metrics)
    loops = [registry.run(), refresher.run(), vms.run(), http]
    await _run_until_stopped(_run_shards(shards), loops)
    await registry.deregister()
    server.close()
    await server.wait_closed()
    await peers.close()
    await store.close()


def _rpc_listener(settings: Settings) -> RpcListener:
    limits = RpcLimits()
    # A message may carry a request's body in another encoding.
    message_bytes = max(limits.message_bytes, 2 * settings.max_body_bytes)
    refusals = LimitRefusals("rpc", lambda *_: None, time.monotonic)
    return RpcListener(
        dataclasses.replace(limits, message_bytes=message_bytes),
        RequestBudget(max(DEFAULT_BUFFERED_BYTES, 2 * message_bytes)),
        ConnectionTable(DEFAULT_CONNECTIONS),
        refusals.record,
    )


def _registry(settings: Settings, role: Role, store: EtcdStore) -> MemberRegistry:
    member = Member(settings.process_id, role, settings.zone, settings.rpc_address)
    return MemberRegistry(store, member)


async def _run_shards(shards: ShardSet) -> None:
    serving = asyncio.create_task(shards.run())
    stopping = asyncio.create_task(_wait_for_stop())
    await asyncio.wait((serving, stopping), return_when=asyncio.FIRST_COMPLETED)
    shards.stop()
    async with asyncio.timeout(HANDOVER_TIMEOUT_S):
        await serving
    stopping.cancel()


async def _wait_for_stop() -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()


async def _do_nothing() -> None:
    return


async def _run_until_stopped(
    serve: Any, loops: list[Any], after: Callable[[], Awaitable[None]] = _do_nothing
) -> None:
    tasks = [asyncio.create_task(loop) for loop in loops]
    try:
        await serve
        await after()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
