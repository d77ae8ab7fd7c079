// Package fakeloads provides the load of a router in tests.
package fakeloads
