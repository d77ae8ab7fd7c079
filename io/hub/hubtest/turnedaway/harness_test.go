package turnedaway_test

import (
	"testing"
	"time"

	"savoryfall/io/hub/hubtest"
	"savoryfall/platform/evacuation"
)

func TestMain(m *testing.M) { hubtest.Main(m) }

func newFleetWithin(t *testing.T, n int, bound time.Duration) *hubtest.Fleet {
	return hubtest.NewWithin(t, n, evacuation.Decoder{}, bound)
}
