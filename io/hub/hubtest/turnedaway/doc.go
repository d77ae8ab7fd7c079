// Package turnedaway tests that routers which the store serves stay up to date while it turns away their hub.
package turnedaway
