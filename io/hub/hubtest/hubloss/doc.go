// Package hubloss tests fleets that lose their hubs.
package hubloss
