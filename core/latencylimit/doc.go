// Package latencylimit limits how many requests all routers together may have at the endpoints of a service, as a factor
// of their slots that follows the waiting and the latency observed over the fleet.
//
// Each router computes the factor by itself. The value that it approaches depends on the sums of the fleet and hardly on
// its own past, so that routers that see the same sums agree without a message.
package latencylimit
