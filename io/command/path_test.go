package command

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/client"
	"savoryfall/platform/standin/server"
)

// BenchmarkStream is one short stream through a whole router on loopback, with 63 engines listed, by 8 clients at a time. Clients,
// engines and the store are in this process too: a profile of it is to be read from serve of io/entry on.
func BenchmarkStream(b *testing.B) {
	f := newEntryFleet(b, 1)
	for i := range 60 {
		f.serve(fmt.Sprint("more", i), server.Options{Service: "models", Slots: 128, Events: 5, Step: time.Millisecond})
	}
	vm := f.vms[0]
	f.await("all are listed", func() bool { return vm.dispatcher.InDomain("a") == 67 })
	b.SetParallelism(8)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			n := requests.Add(1)
			a := client.Ask(vm.clients.Address(), client.Request{
				Method: "POST", Host: "shop.example", Path: "/draft/x", ID: fmt.Sprint("b", n), Key: "good",
			})
			assert.Equal(b, a.Status, 200)
		}
	})
}
