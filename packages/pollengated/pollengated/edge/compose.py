"""Builds and runs a process of the edge role."""

import asyncio
import signal
import time
import uuid

from pollengate.workflow.policy import SchedulingPolicy
from pollengate.workflow.settings import NodeSettings
from pollengate.workflow.shard_lease import ShardLease
from pollengate.workflow.start_pacer import StartPacer
from pollengate_net.calls import split_address
from pollengate_platform.advice import HttpAdviceClient
from pollengate_platform.boot import read_boot_settings
from pollengate_platform.client_api import create_client_app, create_probe_app
from pollengate_platform.explain_api import create_explain_handler
from pollengate_platform.http import HttpClient
from pollengate_platform.kv_store import KvStore
from pollengate_platform.workers import HttpWorkerClient
from result import Err

from pollengated.connection_table import ConnectionTable
from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.edge_readiness import EdgeReadiness
from pollengated.edge.explain_service import EdgeExplainService
from pollengated.edge.gate_job_service import GateJobService
from pollengated.edge.http_servers import EdgeHttpServers
from pollengated.edge.layout import load_or_decide_layout
from pollengated.edge.loop_delay import LoopDelayMonitor
from pollengated.edge.loop_supervisor import LoopSupervisor
from pollengated.edge.membership import Membership
from pollengated.edge.node_directory import NodeDirectory, NodeRecord
from pollengated.edge.operator_view import OperatorView
from pollengated.edge.owned_shards import OwnedShards
from pollengated.edge.owner_probe import OwnerProbe
from pollengated.edge.peer_view_fetcher import PeerViewFetcher
from pollengated.edge.remote_shards import RemoteShards
from pollengated.edge.rpc import EdgeClient, EdgeService
from pollengated.edge.shard_candidates import rank_candidates
from pollengated.edge.shard_elector import ShardElector
from pollengated.edge.shard_term import ShardTerm
from pollengated.gate_shutdown import CloseConnectionsOnShutdown, GateShutdown
from pollengated.limit_refusals import LimitRefusals
from pollengated.logs import Log
from pollengated.readiness import ShutdownFlag
from pollengated.request_budget import RequestBudget
from pollengated.request_limits import ProcessLimits, derive_process_limits
from pollengated.rpc_limits import RpcLimits
from pollengated.rpc_server import BoundedRpcServer, RpcListener
from pollengated.stdout_log import configure_stdout_logging

__all__ = ["run_edge"]

# The platform stops sending new connections after two failed readiness probes, which are 1 s apart.
STOP_DELAY_S = 2.5
MAX_STORE_CONNECTIONS = 16
# Number of processes that list the workers to decide the layout, so that some may fail.
LAYOUT_DECIDERS = 4


async def run_edge(settings: NodeSettings, policy: SchedulingPolicy) -> None:
    """Runs the edge role until SIGTERM."""
    configure_stdout_logging()
    log = Log("edge")
    clocks = Clocks.system()
    metrics = EdgeMetrics()
    store_http_client = HttpClient(MAX_STORE_CONNECTIONS)
    worker_http_client = HttpClient()
    store = KvStore(settings.store_address, store_http_client)
    workers = HttpWorkerClient(worker_http_client)
    advice = None
    if settings.advice_address:
        advice = HttpAdviceClient(settings.advice_address, worker_http_client)
    record = NodeRecord(
        settings.node, settings.rpc_address, uuid.uuid4().hex[:12], round(settings.cores, 2)
    )
    operator_view = OperatorView(store, clocks, metrics)
    directory = NodeDirectory(store, clocks, metrics)
    membership = Membership(store, record)
    client = EdgeClient()
    owned_shards = OwnedShards(clocks)
    metrics.owned_shards.set_function(lambda: len(owned_shards.served_shards()))
    view_fetcher = PeerViewFetcher(record.address, operator_view, directory, client)
    stop_flag = ShutdownFlag()
    shutdown = GateShutdown(stop_flag, STOP_DELAY_S)
    log.info("starting", node=settings.node, zone=settings.zone, incarnation=record.incarnation)
    readiness = EdgeReadiness(operator_view, stop_flag)
    probes = create_probe_app(readiness.is_ready, metrics.export)
    explain_service = EdgeExplainService(
        settings.node, owned_shards, operator_view, directory, clocks
    )
    operator_app = create_probe_app(
        readiness.is_ready, metrics.export, [create_explain_handler(explain_service)]
    )
    limits = derive_process_limits(settings.memory_mb, settings.max_fds)
    http_servers = EdgeHttpServers(limits, metrics)
    rpc_server = _create_rpc_server(EdgeService(owned_shards, operator_view), limits, metrics)
    await rpc_server.start(*split_address(settings.rpc_address), backlog=limits.rpc.backlog)
    servers = [
        http_servers.create("ready", probes, settings.readiness_address, limits.probe),
        http_servers.create("metrics", operator_app, settings.metrics_address, limits.probe),
    ]
    loops = LoopSupervisor(metrics)
    loops.start("operator view", operator_view.cache.run)
    loops.start("directory", directory.cache.run)
    loops.start("membership", membership.run)
    loops.start("view fetcher", view_fetcher.run)
    loops.start("loop delay", LoopDelayMonitor(clocks, metrics).run)
    for server in servers:
        loops.start("server", server.serve)
    _check_settings_on_sighup(log)
    layout = await load_or_decide_layout(
        store, clocks, lambda: _is_layout_decider(record, directory)
    )

    probe = OwnerProbe(layout.shards, owned_shards, directory, client, clocks)
    other_shards = RemoteShards(owned_shards, directory, probe, client, clocks)

    pacer = StartPacer()

    def create_term(shard: int, shard_lease: ShardLease) -> ShardTerm:
        return ShardTerm(
            shard,
            layout,
            settings,
            store,
            workers,
            advice,
            shard_lease,
            operator_view,
            clocks,
            metrics,
            policy,
            other_shards,
            pacer,
        )

    for shard in range(layout.shards):
        elector = ShardElector(shard, record, store, directory, clocks, create_term)
        owned_shards.electors_by_shard[shard] = elector
        loops.start(f"elector {shard}", elector.run)
    loops.start("owner probe", probe.run)
    job_service = GateJobService(
        layout.shards, owned_shards, operator_view, directory, client, probe, store, clocks, metrics
    )
    readiness.probe = probe
    explain_service.shards = layout.shards
    client_server = http_servers.create(
        "front",
        CloseConnectionsOnShutdown(
            create_client_app(job_service, settings.max_value_bytes), stop_flag
        ),
        settings.client_address,
        limits.client,
    )
    log.info("serving", address=settings.client_address, shards=layout.shards)
    handover_task = asyncio.create_task(_hand_over_on_stop(stop_flag, membership, owned_shards))
    await shutdown.serve(client_server)
    handover_task.cancel()
    await loops.stop()
    rpc_server.close()
    client.close()
    await membership.deregister()
    await store_http_client.close()
    await worker_http_client.close()
    log.info("stopped", node=settings.node)


def _is_layout_decider(record: NodeRecord, directory: NodeDirectory) -> bool:
    ranked = rank_candidates(directory.members(), {}, 0)
    return record.node in [candidate.node for candidate in ranked[:LAYOUT_DECIDERS]]


async def _hand_over_on_stop(
    flag: ShutdownFlag, membership: Membership, owned_shards: OwnedShards
) -> None:
    """Hands over all shards when the process begins to stop."""
    await flag.stopped.wait()
    await membership.announce_leaving()
    await asyncio.gather(
        *(elector.hand_over() for elector in owned_shards.electors_by_shard.values())
    )


def _create_rpc_server(
    service: EdgeService, limits: ProcessLimits, metrics: EdgeMetrics
) -> BoundedRpcServer:
    refusals = LimitRefusals("rpc", metrics.count_limit_refusal, time.monotonic)
    listener = RpcListener(
        RpcLimits(),
        RequestBudget(limits.rpc_buffered_bytes),
        ConnectionTable(limits.rpc.connections),
        refusals.record,
    )
    return BoundedRpcServer([service], listener)


def _check_settings_on_sighup(log: Log) -> None:
    def check_settings() -> None:
        result = read_boot_settings()
        if isinstance(result, Err):
            log.warning("settings are invalid; keeping the previous ones", cause=result.err_value)
        else:
            log.info("settings are valid; changes apply after a restart", node=result.ok_value.node)

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, check_settings)
