//! The service between entries: calls and admission for their owner, records and news for members.

use std::pin::Pin;
use std::sync::Arc;

use coord::id::Shard;
use futures::Stream;
use futures::StreamExt;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::Streaming;
use wire::AdmitReply;
use wire::AdmitRequest;
use wire::CallFrame;
use wire::CallRequest;
use wire::Digest;
use wire::PromiseReply;
use wire::PromiseRequest;
use wire::ReplicateReply;
use wire::ReplicateRequest;
use wire::SettleReply;
use wire::SettleRequest;
use wire::SyncChunk;
use wire::owner_server::Owner;

use crate::admission::Admission;
use crate::call::Call;
use crate::heartbeat;
use crate::member::Member;
use crate::outcome;
use crate::promise;
use crate::replicate;

/// Serves other entries.
pub struct Server {
    member: Arc<Member>,
    call: Arc<Call>,
    admission: Arc<Admission>,
}

impl Server {
    /// A service over these parts.
    pub fn new(member: Arc<Member>, call: Arc<Call>, admission: Arc<Admission>) -> Server {
        Server {
            member,
            call,
            admission,
        }
    }
}

#[tonic::async_trait]
impl Owner for Server {
    type CallStream = Pin<Box<dyn Stream<Item = Result<CallFrame, Status>> + Send>>;

    async fn call(
        &self,
        request: Request<CallRequest>,
    ) -> Result<Response<Self::CallStream>, Status> {
        let frames = self.call.run(request.into_inner());
        let frames = frames.map(|frame| Ok(CallFrame { frame: Some(frame) }));
        Ok(Response::new(frames.boxed()))
    }

    async fn admit(&self, request: Request<AdmitRequest>) -> Result<Response<AdmitReply>, Status> {
        Ok(Response::new(
            self.admission.serve(request.into_inner()).await,
        ))
    }

    async fn settle(
        &self,
        request: Request<SettleRequest>,
    ) -> Result<Response<SettleReply>, Status> {
        let request = request.into_inner();
        let reply = outcome::serve(&self.member, &request).await;
        self.call.flight.settled(Shard(request.shard as u16));
        Ok(Response::new(reply))
    }

    async fn replicate(
        &self,
        request: Request<ReplicateRequest>,
    ) -> Result<Response<ReplicateReply>, Status> {
        let reply = replicate::append(self.member.shards(), request.get_ref());
        Ok(Response::new(reply))
    }

    async fn sync(
        &self,
        request: Request<Streaming<SyncChunk>>,
    ) -> Result<Response<ReplicateReply>, Status> {
        let reply = replicate::install(self.member.shards(), request.into_inner()).await?;
        Ok(Response::new(reply))
    }

    async fn exchange(&self, request: Request<Digest>) -> Result<Response<Digest>, Status> {
        Ok(Response::new(heartbeat::answer(
            &self.member,
            request.get_ref(),
        )))
    }

    async fn promise(
        &self,
        request: Request<PromiseRequest>,
    ) -> Result<Response<PromiseReply>, Status> {
        Ok(Response::new(promise::answer(
            &self.member,
            request.get_ref(),
        )))
    }
}
