// Package drainloss tests drained failure domains while routers are lost.
package drainloss
