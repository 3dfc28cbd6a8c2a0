"""The composition root: builds each role from its settings."""

import asyncio
import signal
from typing import Any

import uvicorn
from grpclib.server import Server
from litestar import Litestar
from pollengate.membership import Member, Role
from pollengate.patches import OutstandingPatches
from pollengate_net.calls import split_address
from pollengate_net.etcd_store import EtcdStore
from pollengate_net.grpc_worker import GrpcWorkerClient
from pollengate_net.http_vm_list import HttpVmList
from pollengate_net.peer_client import GrpcPeerClient
from pollengate_net.scheduler_client import SchedulerClient

from pollengated.configuration_exchange import ConfigurationExchange
from pollengated.configuration_follower import ConfigurationFollower
from pollengated.configuration_patches import ConfigurationPatcher
from pollengated.gate_admission import GateAdmission
from pollengated.http_configuration import configuration_router
from pollengated.http_services import service_router
from pollengated.http_status import status_router
from pollengated.http_tasks import task_router
from pollengated.job_router import JobRouter
from pollengated.logs import Log, set_up_logs
from pollengated.member_registry import MemberRegistry
from pollengated.metrics import Metrics
from pollengated.owner_directory import OwnerDirectory
from pollengated.ownership_keeper import OwnershipKeeper
from pollengated.peer_answers import PeerAnswers
from pollengated.peer_service import PeerService
from pollengated.scheduler_service import HeartbeatService, SchedulerService
from pollengated.service_proxy import ServiceProxy
from pollengated.settings import Settings
from pollengated.shard_owner import ShardOwner
from pollengated.succession import Succession
from pollengated.vm_directory import VmDirectory

__all__ = ["run_gate", "run_scheduler"]


async def run_gate(settings: Settings) -> None:
    """Runs a gate until SIGTERM."""
    set_up_logs(settings)
    metrics = Metrics()
    store = EtcdStore(settings.store_address)
    follower = ConfigurationFollower(store, metrics)
    registry = _registry(settings, Role.GATE, store)
    peers = GrpcPeerClient()
    vms = VmDirectory(HttpVmList(settings.vm_list_address))
    exchange = ConfigurationExchange(follower, registry, peers, metrics, vms.entry_addresses)
    admission = GateAdmission(registry, peers)
    outstanding = OutstandingPatches()
    patcher = ConfigurationPatcher(store, follower, registry, admission, outstanding)
    server = Server([PeerService(PeerAnswers(store, follower, registry, outstanding))])
    await server.start(*split_address(settings.rpc_address))
    directory = OwnerDirectory(store)
    client = SchedulerClient()
    proxy = ServiceProxy(settings.zone, follower, vms)
    jobs = JobRouter(store, follower, directory, client)
    app = Litestar(
        [
            configuration_router(follower, patcher, metrics),
            task_router(jobs, metrics),
            service_router(proxy, metrics),
            status_router(settings.process_id, follower, directory, client, metrics),
        ],
        request_max_body_size=settings.max_body_bytes,
        logging_config=None,
    )
    loops = [registry.run(), exchange.run(), admission.run(), directory.run(), vms.run()]
    await _run_until_stopped(_serve_http(app, settings.http_address), loops)
    await registry.leave()
    server.close()
    await server.wait_closed()
    await peers.close()
    client.close()
    await proxy.close()
    await store.close()


async def run_scheduler(settings: Settings) -> None:
    """Runs a scheduler until SIGTERM."""
    set_up_logs(settings)
    metrics = Metrics()
    store = EtcdStore(settings.store_address)
    follower = ConfigurationFollower(store, metrics)
    registry = _registry(settings, Role.SCHEDULER, store)
    peers = GrpcPeerClient()
    vms = VmDirectory(HttpVmList(settings.vm_list_address))
    exchange = ConfigurationExchange(follower, registry, peers, metrics, vms.entry_addresses)
    answers = PeerAnswers(store, follower, registry)
    owner = ShardOwner(
        settings.zone,
        0,
        settings.process_id,
        settings.rpc_address,
        store,
        follower,
        vms,
        GrpcWorkerClient,
        metrics,
        OwnershipKeeper(store, registry, peers, answers, metrics),
        Succession(store, registry, peers, answers, metrics),
    )
    service = SchedulerService(settings.process_id, settings.zone, [owner], follower)
    server = Server([service, HeartbeatService([owner]), PeerService(answers)])
    await server.start(*split_address(settings.rpc_address))
    Log("scheduler").info("serving", address=settings.rpc_address)
    loops = [registry.run(), exchange.run(), vms.run(), owner.run()]
    await _run_until_stopped(_wait_for_stop(), loops)
    await registry.leave()
    server.close()
    await server.wait_closed()
    await peers.close()
    await store.close()


def _registry(settings: Settings, role: Role, store: EtcdStore) -> MemberRegistry:
    member = Member(settings.process_id, role, settings.zone, settings.rpc_address)
    return MemberRegistry(store, member)


async def _serve_http(app: Litestar, address: str) -> None:
    host, port = split_address(address)
    config = uvicorn.Config(app, host=host, port=port, log_level="warning", lifespan="off")
    Log("gate").info("serving", address=address)
    await uvicorn.Server(config).serve()


async def _wait_for_stop() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def _run_until_stopped(serve: Any, loops: list[Any]) -> None:
    tasks = [asyncio.create_task(loop) for loop in loops]
    try:
        await serve
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
