package hubloss_test

import (
	"testing"

	"savoryfall/io/hub/hubtest"
	"savoryfall/platform/evacuation"
)

func TestMain(m *testing.M) { hubtest.Main(m) }

func newFleet(t *testing.T, n int) *hubtest.Fleet { return hubtest.New(t, n, evacuation.Decoder{}) }
