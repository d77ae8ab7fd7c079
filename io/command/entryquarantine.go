package command

import (
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/quarantine"
	"savoryfall/io/entry"
)

// onQuarantineChanged logs prompt parts and requests that were quarantined or released, and has the hub pass the change on.
func (vm *entryVM) onQuarantineChanged(quarantined, released []quarantine.Status) {
	for _, s := range quarantined {
		if s.Key.Request {
			_ = vm.logger.Log(append([]any{field.Event, event.RequestQuarantined}, entry.QuarantineFields(s)...)...)
			continue
		}
		_ = vm.logger.Log(append([]any{field.Event, event.PartQuarantined}, entry.QuarantineFields(s)...)...)
	}
	for _, s := range released {
		if s.Key.Request {
			_ = vm.logger.Log(append([]any{field.Event, event.RequestReleased}, entry.QuarantineFields(s)...)...)
			continue
		}
		_ = vm.logger.Log(append([]any{field.Event, event.PartReleased}, entry.QuarantineFields(s)...)...)
	}
	vm.hub.NotifyParts()
}
