#ifndef CARDAMOMYARD_BATCH_H_
#define CARDAMOMYARD_BATCH_H_

/// \file
/// Public header of the package batch: uploads, job and group records, result
/// segments, idempotency records and accounting. The functions on records are
/// pure: they return the record to write, and the caller makes the store calls
/// in the order given here.
///
/// \par Writing a record
/// Write on the condition that the version is still the one that was read (0:
/// create only). After a lost answer, and also after a refusal, read the record
/// and call ResolveWriteOutcome: a refusal may mean that an earlier attempt of
/// the same write took effect late. After `applied`, the version read is the
/// condition of the next write; after `not_applied`, send the same record
/// again; after `superseded`, drop the work. A version that is read later
/// belongs to the lease holder's record only if the nonce is the holder's.
///
/// \par Upload
/// Store each chunk create-only, then the manifest. A manifest that exists
/// already is of the same file; its byte count may differ, since line ends and
/// empty lines are not part of the id.
///
/// \par Job
/// Store the job record create-only, then the open-job entry, then acknowledge.
/// A repeated request stores whichever is missing. A sidecar that finds the
/// entry of a job that has ended removes the entry.
///
/// \par Group
/// 1. Call Claim and write. Pass a `done` record found here to MarkGroupDone.
/// 2. Call NextItems, then RecordIntents for the non-repeatable items, and
///    write.
/// 3. Call MayStart directly before each start.
/// 4. Call ClassifyResult for each run, add completed and failed items to a
///    segment_builder, and store the segment create-only.
/// 5. Call Commit and write. Repeat from 2, renewing the lease with an empty
///    Commit at least every third of its duration.
/// 6. When the record is `done`, call MarkGroupDone on the job record.
///    When this ends the job, remove the open-job entry.
///
/// \par Cancel
/// Call StartCancel and write; call CloseForCancel for every group, also for
/// those without a record; call FinishCancel with the sum of their counts;
/// remove the open-job entry. Any process may repeat this sweep over the
/// groups.

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
