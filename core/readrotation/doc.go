// Package readrotation chooses which routers read the store on behalf of a hub that cannot read it.
package readrotation
