// Package bodybudget bounds the bytes that a process holds of request bodies. Large bodies wait for each other, in order of arrival.
package bodybudget
