// Package fairness shares the capacity of an overloaded service between client accounts.
package fairness
