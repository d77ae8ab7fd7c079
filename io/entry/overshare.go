package entry

import (
	"fmt"
	"math"
	"time"

	"savoryfall/core/dispatch"
	"savoryfall/core/event"
	"savoryfall/core/field"
)

const (
	// overShareLogPeriod is how often the accounts beyond their share of a service are logged, and overShareLogged how many of each rank.
	overShareLogPeriod = 5 * time.Second
	overShareLogged    = 3
)

// shareFields are the log fields with the account's share that a refusal under overload control was based on.
func (x *exchange) shareFields() []any {
	now, d := time.Now(), x.handler.Dispatcher
	if !d.OverloadControl(x.service, now) {
		return nil
	}
	demand, share := d.AccountRates(dispatch.Query{Service: x.service, Rank: x.rank(), Account: x.accountName()}, now)
	return []any{field.AccountDemand, tenths(demand), field.AccountShare, tenths(share), field.Retrying, x.retrying()}
}

func tenths(f float64) float64 { return math.Round(10*f) / 10 }

// logOverShare logs which accounts are furthest beyond their share of the service, unless it did so a moment ago.
func (x *exchange) logOverShare() {
	now, h := time.Now(), x.handler
	if !h.Dispatcher.OverloadControl(x.service, now) {
		return
	}
	at, logged := h.overShareLoggedAt.Load(x.service)
	if logged && now.Sub(at.(time.Time)) < overShareLogPeriod {
		return
	}
	h.overShareLoggedAt.Store(x.service, now)
	for _, a := range h.Dispatcher.OverShare(x.service, overShareLogged, now) {
		_ = h.Logger.Log(field.Event, event.AccountOverShare, field.Service, x.service, field.Rank, a.Rank, field.Account, a.Name,
			field.AccountHash, fmt.Sprintf("%08x", a.Hash), field.AccountDemand, tenths(a.Demand), field.AccountShare, tenths(a.Share))
	}
}
