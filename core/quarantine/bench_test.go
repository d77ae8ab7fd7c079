package quarantine_test

import (
	"fmt"
	"testing"

	"savoryfall/core/quarantine"
)

// BenchmarkDecide is the time of a decision on a request with four shared parts, with as many parts suspected at one crash, and as
// many quarantined.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{0, 10, 1000} {
		for _, crashes := range []int{1, 3} {
			b.Run(fmt.Sprintf("%d parts, %d crashes", n, crashes), func(b *testing.B) {
				var table quarantine.Table
				for i := range n {
					for j := range crashes {
						table.Crashed(of("a", uint64(i)), quarantine.Crash{Process: process(i*3 + j), Sent: at(-1), At: at(float64(j))}, at(float64(j)))
					}
				}
				s := of("a", 1<<40, 2<<40, 3<<40, 4<<40)
				for b.Loop() {
					table.Decide(s, at(4))
				}
			})
		}
	}
}

// BenchmarkDecideWithRequests is the same with requests that were at one crash each, as many as are kept.
func BenchmarkDecideWithRequests(b *testing.B) {
	for _, n := range []int{10, 1000} {
		b.Run(fmt.Sprintf("%d requests", n), func(b *testing.B) {
			var table quarantine.Table
			for i := range n {
				table.Crashed(request(uint64(100+i), "a"), quarantine.Crash{Process: process(i), Sent: at(-1), At: at(1)}, at(1))
			}
			s := request(1<<40, "a", 1<<40, 2<<40, 3<<40, 4<<40)
			for b.Loop() {
				table.Decide(s, at(4))
			}
		})
	}
}
