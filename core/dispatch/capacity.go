package dispatch

// queueSlots is how many times its slots a plain endpoint may be given before requests are refused: what waits longer
// than another turn is late.
const queueSlots = 2

// places is how many requests an endpoint may be given, 0 when that is not known.
func (c *contest) places(e *endpoint) int {
	slots := e.entry.Slots
	if slots == 0 {
		slots = c.slots
	}
	if !c.engine {
		slots *= queueSlots
	}
	return slots
}

// mostReading is for how many milliseconds an engine may have prompts to read when it is given another one: a quarter of
// the usual aim. An engine can be out of time while it has places: what waits longer there is late, and delays the events
// of all streams beside it. At 400 ms a third more tries ended by their deadline in surges of 3.5 and 12 times the usual.
const mostReading = 200.0

// over tells whether an endpoint cannot take the request at all without letting it wait long.
func (c *contest) over(e *endpoint) bool {
	places := c.places(e)
	return places > 0 && c.sure(e) >= float64(places) || c.reading(e) > mostReading
}

// reading is for how many milliseconds the endpoint has prompts to read before it begins with another one.
func (c *contest) reading(e *endpoint) float64 { return float64(e.toRead(c.now)) / c.d.prefill.perMs() }
