package share

import "time"

// Bounds of the settings between the smallest fairness gap (min), which is the difference
// in service per weight between backlogged teams, and the highest utilisation (max).
const (
	minReportAge       = 300 * time.Millisecond
	maxReportAge       = 1500 * time.Millisecond
	minReportThreshold = 800
	maxReportThreshold = 4000
	minPipelineFactor  = 1.0
)

// SettingsForBalance returns the settings of a Queue for a balance from 0 (the smallest
// fairness gap) to 1 (the highest utilisation and the least control traffic). Values
// outside this range are clamped.
func SettingsForBalance(balance float64) QueueSettings {
	balance = min(max(balance, 0), 1)
	return QueueSettings{
		ReportAge:       minReportAge + time.Duration(balance*float64(maxReportAge-minReportAge)),
		ReportThreshold: minReportThreshold + int64(balance*(maxReportThreshold-minReportThreshold)),
		PipelineFactor:  minPipelineFactor + balance,
	}
}
