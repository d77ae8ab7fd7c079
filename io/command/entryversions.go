package command

import (
	"slices"

	"savoryfall/core/members"
	"savoryfall/io/hub"
	"savoryfall/io/versionlog"
)

// recordingRank ranks a router above those of earlier releases on equal VMs. One that records versions then reads the store for
// all, and a router of an earlier release does not find its own entry on the list and writes it again when it starts, which
// shows that it has run.
const recordingRank = 1

// buildVersions builds what records the software versions of endpoints before streams begin at them.
func (vm *entryVM) buildVersions(t versionlog.Topic, l hub.RouterList) {
	vm.versions = versionlog.Recorder{
		Topic: t, History: vm.endpoints.Versions(), Required: vm.resumesStreams, OnOffered: vm.endpoints.Recheck, Logger: vm.logger,
		Maintains:          func() bool { return vm.hub.ReadsStore() },
		OlderRouters:       func() bool { return slices.ContainsFunc(vm.otherRouters(), runsWithoutRecording) },
		OlderRoutersListed: l.Unrecording,
	}
	vm.versions.Init()
	vm.endpoints.RecordFirst(vm.resumesStreams, vm.versions.Record)
	vm.manager.Register("versions", &vm.versions)
}

// runsWithoutRecording leaves out routers that are known from the list in the store only, which keeps those of VMs that are gone.
func runsWithoutRecording(m members.Member) bool { return m.Started > 0 && !m.RecordsVersions }

// resumesStreams reports whether clients may resume streams of the service, as far as this router knows.
func (vm *entryVM) resumesStreams(service string) bool {
	t := vm.configTracker.Current()
	return t == nil || t.Resumes(service)
}
