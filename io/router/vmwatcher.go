package router

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/background"
	"savoryfall/core/membership"
	"savoryfall/io/probe"
	"savoryfall/io/vmlist"
)

// vmWatcher polls the VM list for routers and for endpoints that are marked as leaving.
type vmWatcher struct {
	list    *vmlist.Client
	members *membership.Table
	probe   *probe.Prober
	period  time.Duration
	logger  log.Logger
	etag    string
	// marked holds the names of the endpoints that the list showed as leaving when it was read last.
	marked map[string]bool
	cancel context.CancelFunc
	tasks  background.Group
}

const vmListTimeout = 5 * time.Second

func (w *vmWatcher) Start(ctx context.Context) error {
	w.poll(ctx)
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.tasks.Go(func() { background.Every(ctx, w.period, func(time.Time) { w.poll(ctx) }) })
	return nil
}

func (w *vmWatcher) Stop(context.Context) error {
	w.cancel()
	w.tasks.Stop()
	return nil
}

// poll reads the VM list. If the platform doesn't answer, the last known list stays in use.
func (w *vmWatcher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	asked := time.Now()
	vms, etag, changed, err := w.list.Fetch(ctx, w.etag)
	if err != nil {
		_ = w.logger.Log("event", "vmListUnread", "err", err)
		return
	}
	if changed {
		w.etag = etag
		w.probe.ProbeAll(ctx, newlyMarked(vms, w.marked))
		w.update(vms)
	}
	w.probe.VMListRead(asked)
}

// newlyMarked returns the endpoints that the list shows as leaving and did not before.
func newlyMarked(vms []vmlist.VM, before map[string]bool) (names []string) {
	for _, vm := range vms {
		if vm.Role == vmlist.RoleEndpoint && vm.Leaving && !before[vm.Name] {
			names = append(names, vm.Name)
		}
	}
	return names
}

func (w *vmWatcher) update(vms []vmlist.VM) {
	var routers []membership.Update
	before := w.marked
	w.marked = map[string]bool{}
	for _, vm := range vms {
		if vm.Role == vmlist.RoleEndpoint {
			w.probe.UpdateFromVMList(vm.Name, vm.Leaving)
			w.marked[vm.Name] = vm.Leaving
			continue
		}
		r := membership.Update{Name: vm.Name, Address: vm.Address, FailureDomain: vm.FailureDomain}
		if vm.Leaving {
			r.State = membership.Leaving
		}
		routers = append(routers, r)
	}
	w.members.UpdateFromVMList(routers, time.Now())
	for name := range before {
		if _, listed := w.marked[name]; !listed {
			w.probe.UpdateFromVMList(name, false)
		}
	}
}
