package loadtest

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"savoryfall/core/annotate"
)

// Write writes the time series of the run to the directory, as a CSV file and an SVG plot.
func (r *Run) Write(dir string) (err error) {
	defer annotate.Error(&err, "write run to %s", dir)
	err = os.MkdirAll(dir, 0o750)
	if err != nil {
		return err
	}
	err = r.writeCSV(filepath.Join(dir, r.policy+".csv"))
	if err != nil {
		return err
	}
	return r.writePlot(filepath.Join(dir, r.policy+".svg"))
}

func (r *Run) writeCSV(file string) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	w := csv.NewWriter(f)
	rows := [][]string{{"second", "requestSkew", "tokenSkew", "outstandingPerEngine", "whole", "notWhole", "foundTokens", "knowableTokens", "firstTokenP95Ms"}}
	for _, s := range r.stats.windows {
		rows = append(rows, []string{
			fmt.Sprintf("%.1f", s.elapsedSeconds), fmt.Sprintf("%.3f", s.requestSkew), fmt.Sprintf("%.3f", s.tokenSkew),
			fmt.Sprintf("%.1f", s.outstandingPerEngine), fmt.Sprint(s.complete), fmt.Sprint(s.incomplete), fmt.Sprint(s.foundTokens),
			fmt.Sprint(s.knowableTokens), fmt.Sprintf("%.1f", s.firstTokenP95Ms),
		})
	}
	return w.WriteAll(rows)
}

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
)

func (r *Run) writePlot(file string) (err error) {
	p := plot.New()
	p.Title.Text = "policy " + r.policy
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "busiest engine / mean; found / knowable tokens"
	var requests, tokens, reuse plotter.XYs
	for i, s := range r.stats.windows {
		requests = append(requests, plotter.XY{X: s.elapsedSeconds, Y: s.requestSkew})
		tokens = append(tokens, plotter.XY{X: s.elapsedSeconds, Y: s.tokenSkew})
		if i > 0 && s.knowableTokens > r.stats.windows[i-1].knowableTokens {
			before := r.stats.windows[i-1]
			reuse = append(reuse, plotter.XY{X: s.elapsedSeconds, Y: float64(s.foundTokens-before.foundTokens) / float64(s.knowableTokens-before.knowableTokens)})
		}
	}
	err = plotutil.AddLines(p, "request skew", requests, "token skew", tokens, "cache reuse", reuse)
	if err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}
