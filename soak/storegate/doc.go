// Package storegate lets a stand-in of the store serve some routers and not others.
package storegate
