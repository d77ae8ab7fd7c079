// Package jointlimit limits what several budgets of bytes hold together.
package jointlimit
