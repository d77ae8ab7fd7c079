// Package prefixcache models the prefix caches of endpoints: which prompt parts they have recently processed.
package prefixcache
