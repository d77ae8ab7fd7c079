package command

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/fakeendpoint"
	"savoryfall/platform/standin/testclient"
)

// BenchmarkStream sends short streaming requests through a complete router on loopback, with 63 engines registered and
// 8 parallel clients per CPU. Clients, engines and the store run in this process too, so read a profile of it from the
// serve function of io/entry downwards.
func BenchmarkStream(b *testing.B) {
	f := newEntryFleet(b, 1)
	for i := range 60 {
		f.addEndpoint(fmt.Sprint("more", i), fakeendpoint.Options{Service: "models", Slots: 128, Events: 5, EventTime: time.Millisecond})
	}
	vm := f.vms[0]
	f.waitFor("all endpoints are registered", func() bool { return vm.dispatcher.CountInDomain("a") == 67 })
	b.SetParallelism(8)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			n := requestCount.Add(1)
			a := testclient.Send(vm.clientServer.Address(), testclient.Request{
				Method: "POST", Host: "shop.example", Path: "/draft/x", ID: fmt.Sprint("b", n), Key: "good",
			})
			assert.Equal(b, a.Status, 200)
		}
	})
}
