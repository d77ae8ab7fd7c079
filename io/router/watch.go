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

// watch reads the VM list, for members and for leaving marks of endpoints.
type watch struct {
	list    *vmlist.List
	members *membership.Table
	probe   *probe.Keeper
	period  time.Duration
	logger  log.Logger
	tag     string
	cancel  context.CancelFunc
	running background.Group
}

const listTimeout = 5 * time.Second

func (w *watch) Start(ctx context.Context) error {
	w.read(ctx)
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.running.Go(func() { background.Every(ctx, w.period, func(time.Time) { w.read(ctx) }) })
	return nil
}

func (w *watch) Stop(context.Context) error {
	w.cancel()
	w.running.Stop()
	return nil
}

// read goes on with the list that is known when the platform does not answer.
func (w *watch) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, tag, changed, err := w.list.Read(ctx, w.tag)
	if err != nil {
		_ = w.logger.Log("event", "vmListUnread", "err", err)
		return
	}
	if !changed {
		return
	}
	w.tag = tag
	w.take(vms)
}

func (w *watch) take(vms []vmlist.VM) {
	var routers []membership.Rumour
	for _, vm := range vms {
		if vm.Role == vmlist.RoleEndpoint {
			w.probe.Listed(vm.Name, vm.Leaving)
			continue
		}
		r := membership.Rumour{Name: vm.Name, Address: vm.Address, FailureDomain: vm.FailureDomain}
		if vm.Leaving {
			r.State = membership.Leaving
		}
		routers = append(routers, r)
	}
	w.members.Listed(routers, time.Now())
}
