// Package rollout plans which model versions each engine should load, by comparing the wanted state with the state that
// the engines report.
package rollout
