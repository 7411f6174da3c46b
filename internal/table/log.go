package table

import (
	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/ledger"
)

// LogChange logs an applied or rejected record of the table stream.
func LogChange(rec *pb.Record, v ledger.ApplyResult) {
	if v.Rejection != nil {
		events.RecordRejected.Log("stream", Stream, "offset", v.Offset, "author", rec.Author, "reason", v.Rejection.Error())
		return
	}
	if c := rec.GetDataCentreChange(); c != nil {
		event := events.DataCentreBack
		if c.Out {
			event = events.DataCentreOut
		}
		event.Log("dataCentre", c.Name, "offset", v.Offset, "author", rec.Author)
		return
	}
	events.TableChangeApplied.Log("offset", v.Offset, "author", rec.Author, "row", changedRow(rec))
}

// changedRow returns the name of the changed row; for a notice, its client.
func changedRow(rec *pb.Record) string {
	switch body := rec.Body.(type) {
	case *pb.Record_RowPut:
		return body.RowPut.Row.Name
	case *pb.Record_RowDelete:
		return body.RowDelete.Name
	case *pb.Record_NoticeGiven:
		return body.NoticeGiven.Client
	}
	return ""
}
