package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"savoryfall/core/members"
	"savoryfall/io/bootclock"
	"savoryfall/io/draining"
	"savoryfall/io/follow"
	"savoryfall/io/hub"
	"savoryfall/io/registry"
	"savoryfall/io/storeconfig"
	"savoryfall/io/traffic"
	wiredesired "savoryfall/platform/desired"
	"savoryfall/platform/evacuation"
	wireregistry "savoryfall/platform/registry"
	"savoryfall/platform/store"
)

func (vm *entryVM) buildStore() (err error) {
	meter := traffic.New(vm.metricSet)
	storeClient := store.New(vm.settings.StoreAddress(), &http.Client{Transport: meter.CountCalls(traffic.KindLog, storeTransport(meter))})
	vm.configTracker = storeconfig.New(wiredesired.Decoder{}, &vm.lease, vm.onConfiguration, vm.logger)
	staleAfter := time.Duration(staleFraction * float64(vm.settings.ChangesWithin()))
	vm.drainTracker = draining.New(evacuation.Decoder{}, vm.dispatcher, vm.logger)
	configurationFollower := follow.New(storeClient.Topic(wiredesired.Topic), follow.Sinks{vm.drainTracker, vm.configTracker}, follow.Options{
		Name: "configuration", PollWait: configurationPollWait, MinInterval: configurationMinInterval, Grace: hubGrace, MaxAge: staleAfter, StartupWait: startupWait,
		UnassistedInterval: vm.unassistedInterval, Clock: bootclock.Now,
	}, vm.logger)
	vm.manager.Register("configuration", configurationFollower)
	vm.endpoints = registry.New(wireregistry.Decoder{}, vm.setEndpoints, vm.logger)
	vm.endpoints.SetHeartbeat(vm.settings.Heartbeat())
	registryFollower := follow.New(storeClient.Topic(wireregistry.Topic), vm.endpoints, follow.Options{
		Name: "registry", MinInterval: registryMinInterval, MaxAge: staleAfter, StartupWait: startupWait,
		UnassistedInterval: vm.unassistedInterval, Clock: bootclock.Now,
	}, vm.logger)
	vm.manager.Register("registry", registryFollower)
	vm.metricSet.NewGauge("savoryfall_registry_age_seconds", func() float64 { return topicAge(registryFollower) })
	vm.addTopicGauges("configuration", configurationFollower)
	vm.addTopicGauges("registry", registryFollower)
	vm.metricSet.NewGauge("savoryfall_store_generation", func() float64 {
		end, _, _ := registryFollower.Position()
		return float64(end.Generation)
	})
	routerList := hub.NewRouterList(storeClient.Topic(store.RoutersTopic))
	vm.buildVersions(storeClient.Topic(store.VersionsTopic), routerList)
	vm.buildOrigins(meter, storeClient.Log(store.OriginsTopic))
	vm.hub, err = hub.New(hub.Config{
		Self: members.Member{
			Name: vm.settings.VM().Name(), Address: vm.settings.AdvertisedAddress(), FailureDomain: vm.settings.VM().FailureDomain(),
			Started: time.Now().UnixMilli(), RecordsVersions: true,
			Bears: recordingRank + members.VM{Cores: vm.settings.Cores(), MemoryMB: vm.settings.MemoryMB(), LinkMbps: vm.settings.LinkMbps()}.FollowerCapacity(),
		},
		ListenAddress: vm.settings.PeerAddress(),
		Members:       &vm.members, Split: vm.splitPeers, Register: vm.origins.Register, Configuration: configurationFollower, CurrentRecord: vm.configTracker.Record,
		OtherRecords: vm.drainTracker.Records, Registry: registryFollower, Endpoints: vm.endpoints,
		Loads: vm.dispatcher, Parts: &vm.quarantine, FleetState: vm.dispatcher, RouterList: routerList, Bootstrap: vm.settings.Bootstrap(), Meter: meter,
		Logger: vm.logger, Clock: bootclock.Now, StaleAfter: staleAfter, OnRoutersChanged: vm.setRouters,
	})
	if err != nil {
		return err
	}
	vm.quarantine.OnChange = vm.onQuarantineChanged
	vm.manager.Register("hub", vm.hub)
	return nil
}

func (vm *entryVM) unassistedInterval(failures int) time.Duration {
	return hub.UnassistedInterval(&vm.members, vm.settings.VM().Name(), failures)
}

// addTopicGauges adds the gauges of how far behind the end of a topic this router is, and how old its newest complete read.
func (vm *entryVM) addTopicGauges(topic string, f *follow.Follower) {
	gauge := func(name string, value func() float64) {
		vm.metricSet.NewGauge(fmt.Sprintf("%s{topic=%q}", name, topic), value)
	}
	gauge("savoryfall_topic_age_seconds", func() float64 { return topicAge(f) })
	gauge("savoryfall_topic_behind_records", func() float64 {
		records, _ := f.Lag()
		return float64(records)
	})
	gauge("savoryfall_topic_behind_seconds", func() float64 {
		_, d := f.Lag()
		return d.Seconds()
	})
}

// topicAge returns the time in seconds since the read was sent that last showed that nothing newer existed, -1 before the
// first.
func topicAge(f *follow.Follower) float64 {
	_, confirmedAt, known := f.Position()
	if !known {
		return -1
	}
	return (bootclock.Now() - confirmedAt).Seconds()
}

// storeTransport returns a transport that detects dead connections by TCP keepalive and counts the bytes.
func storeTransport(m *traffic.Meter) *http.Transport {
	d := &net.Dialer{Timeout: storeDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
	}}
	dial := func(ctx context.Context, network, address string) (c net.Conn, err error) {
		c, err = d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.CountBytes(traffic.KindLog, c), nil
	}
	return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, DisableCompression: true, MaxResponseHeaderBytes: maxStoreHeaderBytes}
}

// maxStoreHeaderBytes bounds the head of an answer of the store, which has a few short lines.
const maxStoreHeaderBytes = 16 << 10

// storeDialTimeout bounds connecting to the store, which normally takes a few milliseconds.
const storeDialTimeout = 500 * time.Millisecond
