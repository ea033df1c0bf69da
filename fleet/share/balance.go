package share

import "time"

// Ends of the balance between utilisation and the fairness gap.
const (
	fairReportAge = 300 * time.Millisecond
	fullReportAge = 1500 * time.Millisecond
	fairThreshold = 800
	fullThreshold = 4000
	leastAhead    = 1.0
)

// SettingsForBalance returns the settings of a Queue for a balance from 0 (the
// smallest fairness gap) to 1 (the highest utilisation and the least control
// traffic).
func SettingsForBalance(balance float64) QueueSettings {
	balance = min(max(balance, 0), 1)
	return QueueSettings{
		ReportAge:       fairReportAge + time.Duration(balance*float64(fullReportAge-fairReportAge)),
		ReportThreshold: fairThreshold + int64(balance*(fullThreshold-fairThreshold)),
		PipelineFactor:  leastAhead + balance,
	}
}
