package command

import (
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/quarantine"
	"savoryfall/io/entry"
)

// onPartsChanged logs prompt parts that were quarantined or released, and has the hub pass the change on.
func (vm *entryVM) onPartsChanged(quarantined, released []quarantine.Status) {
	for _, s := range quarantined {
		_ = vm.logger.Log(append([]any{field.Event, event.PartQuarantined}, entry.PartFields(s)...)...)
	}
	for _, s := range released {
		_ = vm.logger.Log(append([]any{field.Event, event.PartReleased}, entry.PartFields(s)...)...)
	}
	vm.hub.NotifyParts()
}
