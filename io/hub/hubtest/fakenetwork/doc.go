// Package fakenetwork simulates the network between routers in memory, on the clock of a test.
package fakenetwork
