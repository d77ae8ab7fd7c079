package dispatch

// defaultEvents is the expected number of events of a stream until one is learned.
const defaultEvents = 20.0

// expectedEvents returns how many events the answer to the request is expected to have.
func (d *Dispatcher) expectedEvents(Query) float64 { return defaultEvents }
