// Package lease applies lease records in log order, and decides when a holder may act and when a challenger may take
// over.
package lease
