package hub_test

import (
	"testing"

	"savoryfall/io/hub/hubtest"
)

func TestMain(m *testing.M) { hubtest.Main(m) }
