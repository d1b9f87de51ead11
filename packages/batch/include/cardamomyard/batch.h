#ifndef CARDAMOMYARD_BATCH_H_
#define CARDAMOMYARD_BATCH_H_

/// \file
/// Public header of the package batch: uploads, job and group records, result
/// segments, idempotency records and accounting. Functions turn records into
/// new records; the caller does the store calls in the order given here.
///
/// \par Writing a record
/// Write with the version that was read as condition (0: create only). After a
/// lost answer, and also after a refusal, read the record and ask
/// ResolveWriteOutcome: a refusal may mean that an earlier try of the same
/// write took effect late. `applied` gives the version for the next write;
/// `not_applied` sends the same record again; `superseded` drops the work. A
/// version read later belongs to the holder's record only if the nonce is the
/// holder's.
///
/// \par Upload
/// Store each chunk create-only, then the manifest. A manifest that exists is
/// the same file; its byte count may differ in line ends and empty lines.
///
/// \par Job
/// Store the job record create-only, then the open entry, then acknowledge. A
/// resend stores whichever is missing. A sidecar that finds an open entry whose
/// job has ended removes the entry.
///
/// \par Group
/// 1. Claim and write. A `done` record found here goes to MarkGroupDone.
/// 2. NextItems; RecordIntents for those that may not be repeated, and write.
/// 3. MayStart directly before each start.
/// 4. ClassifyResult for each run; add completed and failed ones to a
///    segment_builder; store the segment create-only.
/// 5. Commit and write. Repeat from 2, renewing with an empty Commit at least
///    every third of the lease.
/// 6. When the record is `done`, MarkGroupDone on the job record; when that
///    ends the job, remove the open entry.
///
/// \par Cancel
/// StartCancel and write; CloseForCancel for every group, also for those
/// without a record; FinishCancel with the sum of their counts; remove the open
/// entry. Any process may repeat the sweep.

#include "src/batch/accounting.h"
#include "src/batch/batch_limits.h"
#include "src/batch/chunk.h"
#include "src/batch/classify.h"
#include "src/batch/file_manifest.h"
#include "src/batch/group.h"
#include "src/batch/idempotency.h"
#include "src/batch/item.h"
#include "src/batch/job.h"
#include "src/batch/job_picker.h"
#include "src/batch/open_entry.h"
#include "src/batch/read_back.h"
#include "src/batch/segment.h"
#include "src/batch/upload_splitter.h"

#endif  // CARDAMOMYARD_BATCH_H_
