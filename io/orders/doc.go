// Package orders gives orders to engines under a lease, until what they report is what is wanted.
package orders
