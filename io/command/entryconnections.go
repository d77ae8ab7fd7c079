package command

import (
	"context"
	"fmt"
	"net"
	"sync"

	"savoryfall/core/members"
	"savoryfall/core/settings"
	"savoryfall/io/clientconn"
	"savoryfall/io/connect"
	"savoryfall/io/gobconn"
	"savoryfall/io/http1"
	"savoryfall/io/originlog"
	"savoryfall/io/traffic"
	"savoryfall/io/tunnel"
)

// buildConnector builds what opens connections to endpoints. It comes first, because other routers may ask for tunnels as
// soon as this one listens for routers.
func (vm *entryVM) buildConnector() {
	vm.connector = &connect.Connector{
		Dial: http1.DialTCP, Tracker: &vm.reach, Metrics: connect.NewMetrics(vm.metricSet, &vm.reach), Logger: vm.logger,
		LastBytes: vm.dispatcher.LastBytesAt,
		Relays: &connect.Relays{
			Routers: vm.otherRouters,
			Dial:    vm.dialRouter, FailureDomain: vm.settings.VM().FailureDomain(),
		},
	}
	vm.manager.Register("connector", vm.connector)
	vm.tunnels.Connect, vm.tunnels.FromRouter, vm.tunnels.OnRefused = vm.connector.ConnectFor, vm.members.HasHost, vm.countRefusedTunnel
}

// splitPeers limits what the connections of the listener may take that do not come from routers, and separates the tunnels.
func (vm *entryVM) splitPeers(l net.Listener) net.Listener {
	vm.peerListener = &gobconn.Listener{Listener: l, Known: vm.members.HasHost}
	vm.limitPeers(vm.settings)
	vm.closed.add("peers", "", func() uint64 {
		_, _, _, denied := vm.peerListener.Budget.Usage()
		return denied
	})
	return vm.tunnels.Split(vm.peerListener)
}

// limitPeers sets what the connections of hosts may take that are not known as routers.
func (vm *entryVM) limitPeers(cfg *settings.Entry) {
	c := cfg.PeerConnections()
	vm.peerListener.Budget.SetLimits(c.Bytes(cfg.VM()), c.Descriptors(cfg.VM(), clientconn.MaxDescriptors()))
}

// watchSet logs the connections that the set closes for their clients' behaviour, or for others.
func (vm *entryVM) watchSet(listener string, s *clientconn.Set) {
	for _, reason := range []clientconn.CloseReason{clientconn.HeadTooLarge, clientconn.NoMemory, clientconn.Evicted, clientconn.NoPlace} {
		vm.closed.add(listener, reason, func() uint64 { return s.ClosedBy(reason) })
	}
}

// dialEndpoint connects to an endpoint by itself. The outcome is not recorded, because it is to show something of the endpoint's
// process and not of the way to it.
func (vm *entryVM) dialEndpoint(ctx context.Context, address string) (c net.Conn, err error) {
	return vm.connector.Dial(ctx, address)
}

func (vm *entryVM) countRefusedTunnel(r tunnel.Refusal) {
	vm.metricSet.GetOrCreateCounter(fmt.Sprintf("savoryfall_tunnels_refused_total{reason=%q}", r)).Inc()
}

// dialRouter connects to another router, from the address on which this one listens for routers: the other router
// knows this one by it.
func (vm *entryVM) dialRouter(ctx context.Context, address string) (c net.Conn, err error) {
	host, _, err := net.SplitHostPort(vm.settings.PeerAddress())
	if err != nil {
		return nil, err
	}
	return http1.DialTCPFrom(ctx, net.ParseIP(host), address)
}

// buildOrigins builds what exchanges with the other routers where streams began.
func (vm *entryVM) buildOrigins(m *traffic.Meter, t originlog.Topic) {
	vm.originLog.Topic, vm.originLog.Logger, vm.originLog.Metrics = t, vm.logger, vm.metricSet
	vm.originLog.Routers = func() int { return int(vm.routers.Load()) }
	vm.originLog.Init()
	vm.manager.Register("originLog", &vm.originLog)
	vm.origins.Others, vm.origins.Dial, vm.origins.History, vm.origins.Meter = vm.otherRouters, vm.dialRouter, vm.endpoints.Versions(), m
	vm.origins.Learn, vm.origins.Log = vm.versions.Learn, &vm.originLog
	vm.manager.Register("origins", &vm.origins)
}

// handOverOrigins gives the other routers and the store what this router knows of where streams began, because it is about to
// stop.
func (vm *entryVM) handOverOrigins() {
	var calls sync.WaitGroup
	calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		defer cancel()
		_ = vm.originLog.Flush(ctx)
	})
	vm.origins.HandOver(handOverTimeout)
	calls.Wait()
}

// otherRouters returns the other routers that are not known to have failed.
func (vm *entryVM) otherRouters() []members.Member { return vm.members.Others(vm.settings.VM().Name()) }
