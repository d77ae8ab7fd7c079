package dispatch

import "time"

const (
	// unheardTime is for how long a router does not know what the others have sent: until their reports arrive.
	unheardTime = 600 * time.Millisecond
	// unheardFactor is how many times their mean the others may send to one endpoint in a short time: they choose alike.
	unheardFactor = 4.0
	// skewFactor is how many times the mean of the others a router must get to use what they leave of their shares. skewTime is for
	// how long: in a surge, all get more, and each knows that of the others within this time.
	skewFactor = 3.0
	skewTime   = time.Second
)

// updateSkew records since when this router has got many more requests than each of the others.
func (m *demand) updateSkew(routers int, now time.Time) {
	m.decayTo(now)
	own, others := 0.0, 0.0
	for i := range m.levels {
		own += m.levels[i].arrivals
		others += float64(m.levels[i].others.Came)
	}
	switch {
	case routers < 2 || m.othersAt.IsZero() || now.Sub(m.othersAt) > othersMaxAge || own < skewFactor*others/float64(routers-1):
		m.skewedSince = time.Time{}
	case m.skewedSince.IsZero():
		m.skewedSince = now
	}
}

// othersHold estimates how many requests the other routers may have at an endpoint beyond those that they have reported. known is
// false if this router must keep to its even share.
func (c *scoring) othersHold() (n float64, known bool) {
	hold := c.d.demand(c.q.Service).holdTime.lastOr(unheardTime.Seconds())
	return c.othersSend(min(unheardTime, time.Duration(hold*float64(time.Second))))
}

// othersSend estimates how many requests the other routers may send to an endpoint of the service in some time. known is false if
// this router must keep to its even share.
//
// When most clients are at one router, the even shares of the others would be left unused, and that router would refuse requests
// that the endpoints could take. So it uses what the others leave, less what they may send before it hears of that. Which router
// the clients are at may change at any moment: the next one knows the load of the one before from its reports, and keeps to its even
// share at first, and that one sends no more.
func (c *scoring) othersSend(window time.Duration) (n float64, known bool) {
	m := c.d.demand(c.q.Service)
	if m.skewedSince.IsZero() || c.now.Sub(m.skewedSince) < skewTime || c.now.Sub(m.othersAt) > othersMaxAge {
		return 0, false
	}
	m.decayTo(c.now)
	perSecond := 0.0
	for i := range m.levels {
		perSecond += arrivalRate(float64(m.levels[i].others.Came))
	}
	return 1 + unheardFactor*perSecond*window.Seconds()/float64(max(c.size, 1)), true
}
