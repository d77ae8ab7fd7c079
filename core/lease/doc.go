// Package lease folds leases in offset order, and says when a holder may act and a challenger may
// take over.
package lease
